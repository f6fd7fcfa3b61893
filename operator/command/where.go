package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/gateway"
)

const whereHelp = `Asks a gateway where a request would go now and why, without sending it. The URL names host and
path of the request. The API key of the caller is read from a file or from the environment variable
AMARANTHRAMP_CALLER_KEY, so that it does not stand on the command line. The exit code is 1 if the request would be
refused.`

const (
	// whereTimeout bounds the question to the gateway.
	whereTimeout = 5 * time.Second
	// maxTargetsShown is how many targets of a service are printed as text; --json prints all.
	maxTargetsShown = 12
)

// whereOptions are the flags of the subcommand where.
type whereOptions struct {
	vm      string
	method  string
	keyFile string
	headers headerList
	body    int64
	json    bool
}

// headerList is a flag that may be given several times.
type headerList []string

// String returns the headers as text.
func (l *headerList) String() string { return strings.Join(*l, ", ") }

// Set adds a header.
func (l *headerList) Set(v string) error {
	*l = append(*l, v)
	return nil
}

func whereCommand(s *streams) *ffcli.Command {
	f := flagSet("where", s)
	o := &whereOptions{}
	f.StringVar(&o.vm, "vm", "127.0.0.1:9464", "operator `ADDRESS` of the gateway")
	f.StringVar(&o.method, "method", http.MethodGet, "`METHOD` of the request")
	f.StringVar(&o.keyFile, "key-file", "", "`FILE` with the API key of the caller")
	f.Var(&o.headers, "header", "`NAME: VALUE` of a header of the request; may be given several times")
	f.Int64Var(&o.body, "body", 0, "size of the request's body in `BYTES`")
	f.BoolVar(&o.json, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "where",
		ShortUsage: programName + " where [flags] URL",
		ShortHelp:  "explain where a request would go now, without sending it",
		LongHelp:   whereHelp,
		FlagSet:    f,
		Options:    envOptions,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			return runWhere(ctx, s, o, args[0])
		},
	}
}

func runWhere(ctx context.Context, s *streams, o *whereOptions, target string) error {
	q, err := newQuestion(o, target)
	if err != nil {
		return fmt.Errorf("where: %w", err)
	}
	w, err := askWhere(ctx, o.vm, q)
	if err != nil {
		return fmt.Errorf("where: %w", err)
	}
	if o.json {
		err = printJSON(s, w)
	} else {
		err = printWhere(s.out, w)
	}
	if err == nil && w.Status != 0 {
		return errAlreadyPrinted
	}
	return err
}

// newQuestion returns the question for the flags and the URL. Its error lists all findings.
func newQuestion(o *whereOptions, target string) (*gateway.WhereQuestion, error) {
	q := &gateway.WhereQuestion{Method: o.method, Header: http.Header{}, Body: ident.Bytes(o.body)}
	var errs []error
	u, err := url.Parse(target)
	if err != nil {
		errs = append(errs, fmt.Errorf("URL: %w", err))
	} else {
		q.Host, q.Path = u.Host, u.RequestURI()
	}
	for _, h := range o.headers {
		n, v, ok := strings.Cut(h, ":")
		if !ok {
			errs = append(errs, fmt.Errorf("header %q does not have the form NAME: VALUE", h))
			continue
		}
		q.Header.Add(strings.TrimSpace(n), strings.TrimSpace(v))
	}
	key := os.Getenv("AMARANTHRAMP_CALLER_KEY")
	if o.keyFile != "" {
		b, err := os.ReadFile(o.keyFile)
		if err != nil {
			errs = append(errs, fmt.Errorf("key file: %w", err))
		}
		key = strings.TrimSpace(string(b))
	}
	if key != "" {
		q.Header.Add("Authorization", "Token "+key)
	}
	if err == nil {
		errs = append(errs, q.Check())
	}
	return q, errors.Join(errs...)
}

func askWhere(ctx context.Context, vm string, q *gateway.WhereQuestion) (*gateway.Where, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	b, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode the question: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+"/where", bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(p.Body, 4<<10))
		return nil, fmt.Errorf("gateway answered %s: %s", p.Status, strings.TrimSpace(string(text)))
	}
	w := &gateway.Where{}
	if err := json.NewDecoder(p.Body).Decode(w); err != nil {
		return nil, fmt.Errorf("decode the answer: %w", err)
	}
	return w, nil
}

// printWhere prints an answer as text.
func printWhere(w io.Writer, a *gateway.Where) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, configuration %d, route %s\n", a.VM, a.Version, nonEmpty(string(a.Route)))
	if a.Status != 0 {
		fmt.Fprintf(&b, "  refused with %d: %s\n", a.Status, a.Why)
	} else {
		fmt.Fprintf(&b, "  team %s, priority %d%s\n", nonEmpty(string(a.Team)), a.Priority, allowanceOf(a))
	}
	for i := range a.Services {
		describeService(&b, &a.Services[i])
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func nonEmpty(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

func allowanceOf(a *gateway.Where) string {
	if a.Rate <= 0 {
		return ""
	}
	t := fmt.Sprintf(", allowance %g/s and a burst of %g", a.Rate, a.Burst)
	if a.OverAllowance {
		t += "; requests were refused here in the last 5 s"
	}
	return t
}

func describeService(b *strings.Builder, s *gateway.WhereService) {
	fmt.Fprintf(b, "  service %s, share %.2f of the route", s.Service, s.Share)
	if s.Rollout != "" {
		fmt.Fprintf(b, ", roll-out %s", s.Rollout)
	}
	b.WriteString("\n")
	if s.Partitioned {
		b.WriteString("    no target responds to this VM: the request goes through another VM\n")
	}
	if s.Saturated {
		fmt.Fprintf(b, "    saturated: requests wait for a turn by priority; %d wait here\n", s.Waiting)
	}
	for _, l := range s.Leaving {
		fmt.Fprintf(b, "    a share of %.2f considers %s first\n", l.Share, l.DataCentre)
	}
	for i := range s.Targets {
		if i == maxTargetsShown {
			fmt.Fprintf(b, "    and %d more targets\n", len(s.Targets)-i)
			break
		}
		t := &s.Targets[i]
		fmt.Fprintf(b, "    %-16s %-12s %s\n", t.Target, t.DataCentre, describeTarget(t.Excluded, t.Reported, t.Subset,
			t.Cold, fmt.Sprintf("score %.2f, %d running, %d waiting, %d slots, report %.1f s old", t.Score, t.Running,
				t.Waiting, t.Slots, t.Age.Seconds())))
	}
}

// describeTarget returns why a target is excluded, or what is known of its load.
func describeTarget(excluded string, reported, subset, cold bool, load string) string {
	if excluded != "" {
		return "excluded: " + excluded
	}
	if !reported {
		load = "no report yet"
	}
	if cold {
		load += ", cold"
	}
	if !subset {
		load += ", only if the others have no capacity"
	}
	return load
}
