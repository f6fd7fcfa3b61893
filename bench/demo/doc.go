// Package demo runs a small deployment, sends requests of every class and counts violations of the invariants.
package demo
