// Package progress summarizes the roll-outs in the dumps of several gateways, and says why each stands where it stands.
package progress
