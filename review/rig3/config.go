package main

// The objects that the operator and the targets write, as `fleetbench wire` shows them.

type configuration struct {
	Version     int       `json:"version"`
	Services    []service `json:"services"`
	Limits      limits    `json:"limits"`
	BaseVersion int       `json:"base-version"`
	Hosts       []host    `json:"hosts"`
	Tenants     []tenant  `json:"tenants,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health-path"`
	MaxConns   int     `json:"max-conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmup-s"`
	WarmupPerS float64 `json:"warmup-per-s"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max-header-bytes"`
	MaxBodyBytes    int `json:"max-body-bytes"`
	HeaderTimeoutMs int `json:"header-timeout-ms"`
	IdleTimeoutMs   int `json:"idle-timeout-ms"`
}

type host struct {
	Host  string `json:"host"`
	Paths []path `json:"paths"`
}

type path struct {
	Name        string `json:"name"`
	PathPrefix  string `json:"path-prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout-ms"`
	AimMs       int    `json:"aim-ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service,omitempty"`
	MaxAttempts int    `json:"max-attempts"`
	// TrafficSplit stands instead of Service if it is not empty.
	TrafficSplit []part `json:"traffic-split,omitempty"`
}

type part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

type tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api-keys"`
	Rate  float64  `json:"rate-per-s,omitempty"`
	Burst float64  `json:"burst,omitempty"`
}

// newService returns a service with the values of the small site files.
func newService(name string) service {
	return service{
		Name: name, HealthPath: "/health", MaxConns: 220, Protocol: "h1", WarmupS: 3, WarmupPerS: 4.6,
	}
}

// smallLimits are the limits of the small site files.
func smallLimits() limits {
	return limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
}

type registration struct {
	Address string             `json:"address"`
	Born    int64              `json:"born"`
	Info    registrationInfo   `json:"info"`
	Status  registrationStatus `json:"status"`
}

type registrationInfo struct {
	Service        string `json:"service"`
	Version        string `json:"version"`
	Zone           string `json:"zone"`
	MaxConcurrency int    `json:"max-concurrency"`
}

type registrationStatus struct {
	State        string `json:"state"`
	SeqNo        int    `json:"seq-no"`
	WarmupLeftMs int    `json:"warmup-left-ms"`
}
