package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/operator/client"
	"github.com/amaranthramp/amaranthramp/standin/judge"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/patch"
)

// SetDataCentre takes a data centre out or back in. The judge counts new requests to a data centre that is out as
// violations. It is told of an outage once the patch is accepted, but of a return before the patch is submitted, since
// new requests are allowed as soon as that is accepted.
func (f *Fleet) SetDataCentre(ctx context.Context, d ident.DataCentre, s config.State) error {
	id := fmt.Sprintf("%s-%s-%d", d, s, time.Now().UnixNano())
	text := fmt.Sprintf("[[DataCentre]]\nName = %q\nState = %q\n", d, s)
	if s == config.In {
		if err := f.reportOutage(ctx, d, false); err != nil {
			return err
		}
		return f.submit(ctx, ident.Patch(id), text)
	}
	if err := f.submit(ctx, ident.Patch(id), text); err != nil {
		return err
	}
	return f.reportOutage(ctx, d, true)
}

// reportOutage tells the judge that a data centre is out or back in.
func (f *Fleet) reportOutage(ctx context.Context, d ident.DataCentre, out bool) error {
	u := "http://" + f.judgeAddress() + "/judge/out"
	return postJSON(ctx, u, judge.Outage{DataCentre: d, Out: out})
}

// submit submits a patch to the VMs in turn until one accepts it.
func (f *Fleet) submit(ctx context.Context, id ident.Patch, text string) error {
	var l []error
	for _, v := range f.VMs {
		c := client.New(v.OperatorURL())
		h, err := c.History(ctx)
		if err != nil {
			l = append(l, err)
			continue
		}
		a, err := c.Submit(ctx, patch.Submission{
			File: "bench.toml", Text: text, Against: &h.Version, ID: id, Operator: "bench",
		})
		if err == nil && a.Outcome == patch.Accepted {
			return nil
		}
		if err == nil {
			err = fmt.Errorf("patch %s: %s %s", id, a.Outcome, a.Reason)
		}
		l = append(l, err)
	}
	return errors.Join(l...)
}
