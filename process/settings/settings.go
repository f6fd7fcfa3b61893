package settings

import (
	"fmt"
	"os"

	"github.com/amaranthramp/amaranthramp/connection/seal"
	"github.com/amaranthramp/amaranthramp/ident"
)

// Settings identifies a VM and gives the addresses that its processes use.
type Settings struct {
	Name       ident.VM
	DataCentre ident.DataCentre
	Region     ident.Region
	// Platform is the base URL of the platform's API.
	Platform string
	// Key is the secret that authenticates patches of the configuration, and the requests by which VMs fetch the
	// configuration from each other. Without a key they aren't authenticated.
	Key     seal.Key
	Entry   Entry
	Control Control
	Log     Log
}

// Entry holds the listen addresses of the entry process.
type Entry struct {
	// CallerAddress accepts callers' requests.
	CallerAddress ident.Address
	// PeerAddress accepts requests that other members forward.
	PeerAddress ident.Address
	// OperatorAddress serves the dump, metrics and readiness.
	OperatorAddress ident.Address
}

// Control holds the listen addresses of the control process and its other settings.
type Control struct {
	// LinkAddress accepts the link from the VM's own entry process.
	LinkAddress ident.Address
	// WitnessAddress receives lease messages over UDP.
	WitnessAddress ident.Address
	// OperatorAddress serves operators' requests, the dump and metrics.
	OperatorAddress ident.Address
	// Key authenticates lease messages; all VMs of a region have the same key. Without a key, lease messages are accepted
	// from any sender.
	Key string
	// Seeds are operator addresses of other VMs, from which the configuration is fetched while the platform is down.
	Seeds []ident.Address
}

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest zerolog level that is logged, such as "info".
	Level string
}

// Load reads and checks a settings file; its error lists all findings.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, l := Check(file, b)
	if err := l.Err(); err != nil {
		return nil, fmt.Errorf("invalid settings:\n%w", err)
	}
	return s, nil
}
