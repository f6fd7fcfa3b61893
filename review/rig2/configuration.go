package main

import "fmt"

// class is one kind of request of the deployment's sheet.
type class struct {
	name, method, kind, host, prefix, service string
	// perSecond is the rate of all consumers together; the others are in milliseconds.
	perSecond                         float64
	workMs, limitMs, timeoutMs, aimMs int
	priority                          int
}

// The services of the deployment.
const (
	memberLedger  = "member-ledger"
	remitIntake   = "remit-intake"
	statementDesk = "statement-desk"
)

// classes are those of the sheet of umusanzu-dues.
var classes = []class{
	{"balance-read", "GET", "safe", "balance.example", "/balance/", memberLedger, 32.2, 120, 1000, 1000, 300, 2},
	{"remit-post", "POST", "unsafe", "remit.example", "/remit/", remitIntake, 11.9, 160, 1200, 1200, 400, 1},
	{"statement-read", "GET", "safe", "statement.example", "/statement/", statementDesk, 10.7, 300, 2000, 1200, 800, 2},
	{"arrears-report", "GET", "safe", "arrears.example", "/arrears/", statementDesk, 6.22, 480, 3000, 2000, 1200, 2},
}

type (
	configuration struct {
		Version  int       `json:"version"`
		Services []service `json:"services"`
		Limits   limits    `json:"limits"`
		Hosts    []host    `json:"hosts"`
	}
	service struct {
		Name       string  `json:"name"`
		HealthPath string  `json:"health-path"`
		MaxConns   int     `json:"max-conns"`
		Protocol   string  `json:"protocol"`
		TLS        bool    `json:"tls"`
		Warmup     float64 `json:"warmup-s"`
		PerSecond  float64 `json:"warmup-per-s"`
	}
	limits struct {
		Header  int `json:"max-header-bytes"`
		Body    int `json:"max-body-bytes"`
		Timeout int `json:"header-timeout-ms"`
		Idle    int `json:"idle-timeout-ms"`
	}
	host struct {
		Host  string `json:"host"`
		Paths []path `json:"paths"`
	}
	path struct {
		Name     string `json:"name"`
		Prefix   string `json:"path-prefix"`
		Kind     string `json:"kind"`
		Timeout  int    `json:"timeout-ms"`
		Aim      int    `json:"aim-ms"`
		Priority int    `json:"priority"`
		Service  string `json:"service"`
		Attempts int    `json:"max-attempts"`
	}
)

// newConfiguration returns a configuration with the routes of the sheet and some more, which nobody uses.
func newConfiguration(version, more int) configuration {
	c := configuration{
		Version: version, Limits: limits{Header: 16384, Body: 64 << 20, Timeout: 3000, Idle: 15000},
	}
	for _, n := range []string{memberLedger, remitIntake, statementDesk} {
		c.Services = append(c.Services, service{
			Name: n, HealthPath: "/health", MaxConns: 220, Protocol: "h1", Warmup: 3, PerSecond: 4.6,
		})
	}
	for i := range classes {
		k := &classes[i]
		c.Hosts = append(c.Hosts, host{Host: k.host, Paths: []path{k.path("r-"+k.name, k.prefix)}})
	}
	for i := range more {
		h := &c.Hosts[i%len(classes)]
		h.Paths = append(h.Paths, classes[i%len(classes)].path(fmt.Sprintf("r-more-%d", i), fmt.Sprintf("/more-%d/", i)))
	}
	return c
}

func (k *class) path(name, prefix string) path {
	return path{
		Name: name, Prefix: prefix, Kind: k.kind, Timeout: k.timeoutMs, Aim: k.aimMs, Priority: k.priority,
		Service: k.service, Attempts: 2,
	}
}
