package access

import (
	"time"

	"github.com/amaranthramp/amaranthramp/request/credential"
	"github.com/amaranthramp/amaranthramp/version/team"
)

const (
	// unconfirmedAfter is the age of the copy of the store from which an unknown key may be a new one.
	unconfirmedAfter = 2 * time.Second
	// defaultRevokeWithin applies if keys are revoked strictly and no time is configured.
	defaultRevokeWithin = 2 * time.Second
)

// Policy says how API keys that were removed bind while the store is out of reach: if Strict is true, no key is
// accepted once the copy of the store has not been confirmed for Within.
type Policy struct {
	Strict bool
	Within time.Duration
}

// Copy says how current a VM's copy of the store is: the time since it was last known to be current, if Confirmed is
// true; otherwise it never was.
type Copy struct {
	Confirmed bool
	Age       time.Duration
}

// Decision is an Admitted, Denied or Unconfirmed.
type Decision interface{ decision() }

// Admitted means that the request may run; Team is nil if the request has none.
type Admitted struct{ Team *team.Team }

// Denied means that the request needs a valid API key and has none.
type Denied struct{ Cause Cause }

// Unconfirmed means that this VM can't tell, since its copy of the store is too old.
type Unconfirmed struct{}

func (Admitted) decision()    {}
func (Denied) decision()      {}
func (Unconfirmed) decision() {}

// Cause says in one word why a request has no valid API key. It is written to logs and metrics.
type Cause string

// The causes of denied requests, besides the problems of package credential.
const (
	// Missing means that the request has no key.
	Missing Cause = "missing"
	// Unknown means that the key is that of no team.
	Unknown Cause = "unknown"
	// Removed means that the key was valid when the request arrived and is no longer.
	Removed Cause = "removed"
	// CopyTooOld means that the request was Unconfirmed.
	CopyTooOld Cause = "copy-too-old"
)

// Decide decides on a request that arrives; d is nil if the configuration has no teams.
func (p Policy) Decide(d *team.Directory, public bool, c credential.Credential, y Copy) Decision {
	if d == nil {
		return Admitted{}
	}
	t, cause := find(d, c)
	switch {
	case t != nil:
		return p.admit(t, y)
	case public:
		return Admitted{}
	case !y.Confirmed || y.Age > unconfirmedAfter:
		return Unconfirmed{}
	default:
		return Denied{cause}
	}
}

// Recheck decides again on a request with the given key, or without one if it is empty, that was admitted before. A key
// that is no longer known has been removed, so that it can't be a new one, however old the copy is.
func (p Policy) Recheck(d *team.Directory, public bool, key string, y Copy) Decision {
	if d == nil {
		return Admitted{}
	}
	if t, ok := d.Find(key); ok {
		return p.admit(t, y)
	}
	if public {
		return Admitted{}
	}
	return Denied{Removed}
}

// admit decides on a request with a known key. Under a strict policy a copy that was never confirmed counts as too old:
// it may hold keys that have been removed since. Otherwise the VM serves with it, as with its routes: after all VMs
// have restarted, refusing until the first confirmation cost the callers 1 to 2 s.
func (p Policy) admit(t *team.Team, y Copy) Decision {
	within := p.Within
	if within <= 0 {
		within = defaultRevokeWithin
	}
	if p.Strict && (!y.Confirmed || y.Age > within) {
		return Unconfirmed{}
	}
	return Admitted{t}
}

// find returns the team of a credential, or why there is none.
func find(d *team.Directory, c credential.Credential) (*team.Team, Cause) {
	switch v := c.(type) {
	case credential.Key:
		if t, ok := d.Find(string(v)); ok {
			return t, ""
		}
		return nil, Unknown
	case credential.Unreadable:
		return nil, Cause(v.Problem)
	default:
		return nil, Missing
	}
}
