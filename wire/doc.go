// Package wire holds the messages between the system's own processes, generated from the schemas beside this file.
// Field names are in Pascal case, in the schemas as in JSON.
package wire

//go:generate make -C .. generate
