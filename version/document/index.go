package document

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/amaranthramp/amaranthramp/version/finding"
)

// indexKeys records the position of each key.
func (d *Document) indexKeys(b []byte) error {
	// The file is decoded first, since the decoder's errors have positions.
	var ignored map[string]any
	if err := toml.Unmarshal(b, &ignored); err != nil {
		return err
	}
	x := indexer{document: d, arrayLengths: map[string]int{}, lineOffsets: lineStarts(b)}
	x.parser.Reset(b)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.parser.Error()
}

// indexer records the keys in the expressions of a file.
type indexer struct {
	document *Document
	parser   unstable.Parser
	// arrayLengths is the number of elements found so far in each array of tables.
	arrayLengths map[string]int
	table        string
	// lineOffsets holds the offset of each line. The parser's own lookup scans the file from its start for every key.
	lineOffsets []int
}

func (x *indexer) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		x.table = x.path("", n.Key(), false)
	case unstable.ArrayTable:
		x.table = x.path("", n.Key(), true)
	case unstable.KeyValue:
		x.keyValue(x.table, n)
	}
}

// path resolves a dotted key and records its position. An array of tables stands for its last element; with newElement,
// the last key starts a new element of its array.
func (x *indexer) path(base string, keys unstable.Iterator, newElement bool) string {
	p := base
	for keys.Next() {
		k := keys.Node()
		p = joinPath(p, string(k.Data))
		if newElement && keys.IsLast() {
			x.arrayLengths[p]++
		}
		if c := x.arrayLengths[p]; c > 0 {
			p = fmt.Sprintf("%s[%d]", p, c-1)
		}
		if !x.document.Has(p) {
			x.document.places[strings.ToLower(p)] = x.place(k)
		}
	}
	return p
}

func (x *indexer) keyValue(base string, n *unstable.Node) {
	p := x.path(base, n.Key(), false)
	x.value(p, n.Value())
}

func (x *indexer) value(p string, n *unstable.Node) {
	c := n.Children()
	for i := 0; c.Next(); i++ {
		switch n.Kind {
		case unstable.InlineTable:
			x.keyValue(p, c.Node())
		case unstable.Array:
			x.value(fmt.Sprintf("%s[%d]", p, i), c.Node())
		}
	}
}

func (x *indexer) place(n *unstable.Node) finding.Place {
	o := int(n.Raw.Offset)
	l := sort.SearchInts(x.lineOffsets, o+1)
	return finding.Place{File: x.document.file, Line: l, Column: o - x.lineOffsets[l-1] + 1}
}

// lineStarts returns the offset of the first byte of each line.
func lineStarts(b []byte) []int {
	l := []int{0}
	for i, c := range b {
		if c == '\n' {
			l = append(l, i+1)
		}
	}
	return l
}

func joinPath(base, key string) string {
	if base == "" {
		return key
	}
	return base + "." + key
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
