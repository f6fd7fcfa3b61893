package fleet

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// TestStatementsProveList checks as of when the answers of members prove that a list of keepers is the only one. An
// answer that was long on its way, or whose sender or receiver was paused, must not look recent: a keeper would give
// out tokens that another one gives out too.
func TestStatementsProveList(t *testing.T) {
	const list, other = 7, 8
	start := clock.Instant(time.Hour)
	at := func(s int) clock.Instant { return start.Add(time.Duration(s) * time.Second) }
	type answer struct {
		member      ident.VM
		round, list uint64
	}
	rows := []struct {
		name string
		// rounds are the seconds at which rounds 1, 2 and so on begin; all answers arrive after the last one.
		rounds  []int
		answers []answer
		now     int
		want    clock.Instant
	}{
		{"all members", []int{1}, []answer{{"b", 1, list}, {"c", 1, list}}, 2, at(1)},
		{"answer to an earlier round", []int{1, 3}, []answer{{"b", 1, list}, {"c", 2, list}}, 4, at(1)},
		{"late answer after a newer one", []int{1, 3}, []answer{{"b", 2, list}, {"b", 1, list}, {"c", 2, list}}, 4, at(3)},
		{"answers long after their round", []int{1}, []answer{{"b", 1, list}, {"c", 1, list}}, 9, at(1)},
		{"one member silent", []int{1}, []answer{{"b", 1, list}}, 2, 0},
		{"one member with another list", []int{1}, []answer{{"b", 1, list}, {"c", 1, other}}, 2, 0},
		{"unknown round", []int{1}, []answer{{"b", 1, list}, {"c", 99, list}}, 2, 0},
		{"absent member with another list", []int{1}, []answer{{"b", 1, list}, {"c", 1, list}, {"gone", 1, other}}, 2, 0},
		{"absent member with another list long ago", []int{1, 14},
			[]answer{{"gone", 1, other}, {"b", 2, list}, {"c", 2, list}}, 15, at(14)},
	}
	v := &catalog.View{
		Members: []roster.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "gone"}},
		States:  []catalog.MemberState{{}, {}, {Standing: catalog.Returning}, {Standing: catalog.Absent}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			s := newStatements(0)
			for _, n := range r.rounds {
				s.begin(at(n))
			}
			for _, a := range r.answers {
				s.record(a.member, a.round, a.list)
			}
			if got := s.provenAt(at(r.now), v, "a", list); got != r.want {
				t.Errorf("proven as of %s after the start, want %s", got.Sub(start), r.want.Sub(start))
			}
		})
	}
}
