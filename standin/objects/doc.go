// Package objects is a stand-in for the users' store of objects: kinds, revisions, pages, watches, and its faults.
package objects
