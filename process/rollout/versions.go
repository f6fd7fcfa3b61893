package rollout

import (
	"slices"
	"strings"

	"github.com/amaranthramp/amaranthramp/ident"
)

// VersionList is a list of versions, separated by spaces. It is a string so that statuses can be compared.
type VersionList string

// maxVersions limits a list; the oldest versions are dropped. Targets of an order that was not completed stop within
// some seconds.
const maxVersions = 4

// Has reports whether the list contains the version.
func (l VersionList) Has(v ident.TargetVersion) bool {
	return v != "" && slices.Contains(strings.Fields(string(l)), string(v))
}

// With returns the list with the version at its end.
func (l VersionList) With(v ident.TargetVersion) VersionList {
	if v == "" {
		return l
	}
	f := append(strings.Fields(string(l.Without(v))), string(v))
	return VersionList(strings.Join(f[max(0, len(f)-maxVersions):], " "))
}

// Without returns the list without the version.
func (l VersionList) Without(v ident.TargetVersion) VersionList {
	f := slices.DeleteFunc(strings.Fields(string(l)), func(x string) bool { return x == string(v) })
	return VersionList(strings.Join(f, " "))
}

// containsAll reports whether the list contains all versions of the other one.
func (l VersionList) containsAll(o VersionList) bool {
	return !slices.ContainsFunc(strings.Fields(string(o)), func(v string) bool { return !l.Has(ident.TargetVersion(v)) })
}

// union returns the versions of both lists.
func (l VersionList) union(o VersionList) VersionList {
	for _, v := range strings.Fields(string(o)) {
		l = l.With(ident.TargetVersion(v))
	}
	return l
}

// after returns the list of versions that must not be used once an order with this list has ended or has been replaced.
// Only a completed order has proved its version good.
func (l VersionList) after(v ident.TargetVersion, s Progress) VersionList {
	if s == Completed {
		return l.Without(v)
	}
	return l.With(v)
}
