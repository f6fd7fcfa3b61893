// Package clock reads the boot clock of the operating system, which all processes of a VM share and which advances
// while a process is paused. Packages that implement logic take instants as arguments, so that their tests don't need
// to sleep.
package clock
