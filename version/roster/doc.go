// Package roster holds which targets are registered, and which data centres operators have taken out.
package roster
