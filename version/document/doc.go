// Package document decodes a TOML file strictly into a value and records the position of each key, so that all findings
// of a file can be reported together, each with its position.
package document
