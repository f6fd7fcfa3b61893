// Package config defines and validates the configuration that operators declare: services, their request classes and
// upstreams, data centres and budgets. A configuration is immutable once parsed.
package config
