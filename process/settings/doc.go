// Package settings reads and checks the settings file of an entry VM, which both of its processes read.
package settings
