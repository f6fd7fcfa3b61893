package main

import (
	"encoding/json"
	"fmt"
)

// routeSpec is a route of the configuration.
type routeSpec struct {
	Name        string `json:"name"`
	PathPrefix  string `json:"path-prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout-ms"`
	AimMs       int    `json:"aim-ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service,omitempty"`
	MaxAttempts int    `json:"max-attempts"`
	// Split shares the requests among several services in place of Service.
	Split []splitSpec `json:"traffic-split,omitempty"`
}

// splitSpec is a part of a split; the page says only that the weights give proportions.
type splitSpec struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// under returns the same route with another prefix.
func (r routeSpec) under(prefix string) routeSpec {
	r.Name, r.PathPrefix = r.Name+prefix, prefix
	return r
}

type serviceSpec struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health-path"`
	MaxConns   int     `json:"max-conns"`
	WarmupS    float64 `json:"warmup-s"`
	WarmupRate float64 `json:"warmup-per-s"`
}

type limitSpec struct {
	HeaderBytes   int `json:"max-header-bytes"`
	BodyBytes     int `json:"max-body-bytes"`
	HeaderTimeout int `json:"header-timeout-ms"`
	IdleTimeout   int `json:"idle-timeout-ms"`
}

type hostSpec struct {
	Host  string      `json:"host"`
	Paths []routeSpec `json:"paths"`
}

type configSpec struct {
	Version  int           `json:"version"`
	Services []serviceSpec `json:"services"`
	Limits   limitSpec     `json:"limits"`
	Hosts    []hostSpec    `json:"hosts"`
	Tenants  []tenantSpec  `json:"tenants,omitempty"`
}

// The limits of the example on the users' wire page.
const (
	maxHeaderBytes = 16384
	maxBodyBytes   = 67108864
)

func defaultLimits() limitSpec {
	return limitSpec{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: 3000, IdleTimeout: 15000}
}

// host is the host of all routes.
const host = "dues.example"

// configure writes a version of the configuration with one service for each route; the store's answer is the ack.
func (e *env) configure(version int, l limitSpec, r ...routeSpec) error {
	c := configSpec{Version: version, Limits: l, Hosts: []hostSpec{{Host: host, Paths: r}}, Tenants: e.tenants}
	seen := map[string]bool{}
	for _, o := range r {
		if o.Service != "" && !seen[o.Service] {
			seen[o.Service] = true
			c.Services = append(c.Services, serviceSpec{
				Name: o.Service, HealthPath: "/health", MaxConns: 220, WarmupS: 3, WarmupRate: 4.6,
			})
		}
	}
	b, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	e.store.Put("config", "main", string(b))
	e.record("configuration %d acknowledged: %s", version, b)
	return nil
}
