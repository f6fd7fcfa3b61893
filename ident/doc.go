// Package ident defines the types for identifiers and units that are shared by all other packages.
package ident
