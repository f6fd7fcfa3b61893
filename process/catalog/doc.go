// Package catalog keeps what the operators and the targets have written to a store: the routes in force, the
// registered targets, and the data centres that are taken out.
package catalog
