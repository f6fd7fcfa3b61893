package patch

import (
	"fmt"
	"strings"

	"github.com/amaranthramp/amaranthramp/version/config"
)

// maxSummary limits the size of a summary in bytes, since the history stores it.
const maxSummary = 120

// Summary briefly describes what a patch changes.
func (p *Patch) Summary() string {
	var l []string
	if p.Budget != (config.Budget{}) {
		l = append(l, "budgets")
	}
	for _, d := range p.DataCentre {
		l = append(l, fmt.Sprintf("data centre %s %s", d.Name, d.State))
	}
	for _, s := range p.Service {
		l = append(l, fmt.Sprintf("service %s", s.Name))
	}
	for _, r := range p.Remove {
		l = append(l, fmt.Sprintf("remove %s", r))
	}
	t := strings.Join(l, ", ")
	if len(t) > maxSummary {
		t = strings.ToValidUTF8(t[:maxSummary], "") + " and more"
	}
	return t
}
