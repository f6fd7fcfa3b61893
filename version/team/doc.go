// Package team provides the teams of one version of the operators' configuration, and finds the team that an API key
// belongs to.
//
// Keys are held as digests and looked up by digest: the time of a look-up then depends on the digest of what a caller
// sent, which tells it nothing about the keys, and the process holds no key that a dump or a log could show.
package team
