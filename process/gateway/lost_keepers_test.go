package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/standin/objects"
)

const (
	// lossTeams is the number of teams, each with an allowance of lossRate requests per second and a burst of lossBurst.
	lossTeams = 6
	lossRate  = 20
	lossBurst = 10
	// wholeAfter is how long after the loss of VMs the others give out the whole allowance again: VMs count as silent
	// after 3 s, a new reader of the store may have to begin first, and keepers wait 3.5 s before they take over.
	wholeAfter = 12 * time.Second
	// wholeFor is for how long it is counted.
	wholeFor = 5 * time.Second
)

// allowanceLoad sends requests of all teams through some VMs, at three times their allowances, and records when each
// was answered with 200.
type allowanceLoad struct {
	mu     sync.Mutex
	served [lossTeams][]time.Time
	done   sync.WaitGroup
	stop   chan struct{}
}

func startAllowanceLoad(fleet []*testGateway) *allowanceLoad {
	l := &allowanceLoad{stop: make(chan struct{})}
	for team := range lossTeams {
		l.done.Go(func() {
			tick := time.NewTicker(time.Second / (3 * lossRate))
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-tick.C:
					l.done.Go(func() { l.send(fleet[n%len(fleet)], team, n) })
				}
			}
		})
	}
	return l
}

func (l *allowanceLoad) send(g *testGateway, team, n int) {
	p, err := g.exchangeRaw("/read/x", []string{
		fmt.Sprintf("Authorization: Token key-%d", team), fmt.Sprintf("Amaranthramp-Attempt-Id: %d-%d", team, n),
		"Amaranthramp-Timeout-Remaining: 1000", "Connection: close",
	}, "")
	if err != nil {
		return
	}
	_ = p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served[team] = append(l.served[team], time.Now())
}

func (l *allowanceLoad) end() {
	close(l.stop)
	l.done.Wait()
}

// worstWindow returns the largest number of instants in a window.
func worstWindow(at []time.Time, w time.Duration) int {
	slices.SortFunc(at, time.Time.Compare)
	worst, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > w {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// TestLostKeepersAreReplaced checks that teams get their whole allowance, and never more than the bound, after five of
// nine VMs in three data centres are gone for good. Teams got the parts of the keepers that were left, and those of
// which all keepers were gone nothing.
func TestLostKeepersAreReplaced(t *testing.T) {
	tenants := make([]string, lossTeams)
	for i := range tenants {
		tenants[i] = fmt.Sprintf(`{"name":"team-%d","api-keys":["key-%d"],"rate-per-s":%d,"burst":%d}`, i, i, lossRate,
			lossBurst)
	}
	b := &testGateway{store: objects.New(), log: zerolog.Nop(), grace: 500 * time.Millisecond}
	b.configure(1, strings.Join(tenants, ","))
	b.startWithTargets(t, 8, time.Millisecond)
	fleet := []*testGateway{b}
	for i := range 8 {
		fleet = append(fleet, b.addGatewayIn(t, ident.VM(fmt.Sprint("vm-", i+2)), ident.DataCentre("abc"[i%3:i%3+1])))
	}
	time.Sleep(5 * time.Second)
	left := fleet[5:]
	load := startAllowanceLoad(left)
	time.Sleep(2 * time.Second)
	for _, g := range fleet[:5] {
		g.stop()
	}
	lost := time.Now()
	time.Sleep(wholeAfter + wholeFor)
	load.end()
	for team, at := range load.served {
		if n, most := worstWindow(at, 5*time.Second), (lossRate*5+lossBurst)*11/10+20; n > most {
			t.Errorf("team %d: %d requests ran in 5 s, want at most %d", team, n, most)
		}
		n := 0
		for _, i := range at {
			if d := i.Sub(lost); d >= wholeAfter && d < wholeAfter+wholeFor {
				n++
			}
		}
		if want := 9 * lossRate * int(wholeFor.Seconds()) / 10; n < want {
			t.Errorf("team %d: %d requests ran in %s after the loss, want at least %d, nearly the whole allowance", team, n,
				wholeFor, want)
		}
	}
}
