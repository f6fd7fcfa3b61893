// Package finding represents the errors in an input file with their positions, so that all are reported together.
package finding
