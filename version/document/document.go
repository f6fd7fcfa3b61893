package document

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/amaranthramp/amaranthramp/version/finding"
)

// maxFindings limits the number of type errors that are collected from one file.
const maxFindings = 100

// Document is a decoded TOML file.
type Document struct {
	file string
	// places holds the position of each key by its path in lower case, since the decoder accepts keys in any case.
	places         map[string]finding.Place
	hasSyntaxError bool
}

// Read decodes a file into v; the list contains syntax errors, unknown keys and values of the wrong type.
func Read(file string, b []byte, v any) (*Document, finding.List) {
	d := &Document{file: file, places: map[string]finding.Place{}}
	if err := d.indexKeys(b); err != nil {
		d.hasSyntaxError = true
		return d, finding.List{d.syntaxError(err)}
	}
	return d, d.decode(b, v)
}

// HasSyntaxError reports whether the file isn't valid TOML; its content can't be checked then.
func (d *Document) HasSyntaxError() bool {
	return d.hasSyntaxError
}

// Has reports whether the file sets the key at a path such as "Service[0].Class[1].Weight".
func (d *Document) Has(path string) bool {
	_, ok := d.places[strings.ToLower(path)]
	return ok
}

// Place returns the position of a key, or of the closest enclosing table that the file contains.
func (d *Document) Place(path string) finding.Place {
	for ; path != ""; path = parentPath(path) {
		if p, ok := d.places[strings.ToLower(path)]; ok {
			return p
		}
	}
	return finding.Place{File: d.file, Line: 1, Column: 1}
}

// Finding returns a finding at the position of a key.
func (d *Document) Finding(path, format string, args ...any) finding.Finding {
	return finding.Finding{Place: d.Place(path), Text: fmt.Sprintf(format, args...)}
}

// decode collects all type errors. The decoder stops at the first one, so decode blanks its line and decodes again. The
// value receives everything that could be decoded, so that it can still be validated.
func (d *Document) decode(b []byte, v any) finding.List {
	var l finding.List
	b = bytes.Clone(b)
	for len(l) < maxFindings {
		t := reflect.New(reflect.TypeOf(v).Elem())
		t.Elem().Set(reflect.ValueOf(v).Elem())
		err := decodeStrict(b, t.Interface())
		wrong := &toml.DecodeError{}
		missing := &toml.StrictMissingError{}
		switch {
		case err == nil:
			reflect.ValueOf(v).Elem().Set(t.Elem())
			return l
		case errors.As(err, &missing):
			_ = toml.Unmarshal(b, v)
			return append(l, d.unknownKeys(missing, t.Type())...)
		case errors.As(err, &wrong) && d.blankLine(b, wrong):
			l = append(l, d.decodeError(wrong, t.Type()))
		default:
			return append(l, d.syntaxError(err))
		}
	}
	return l
}

func decodeStrict(b []byte, v any) error {
	return toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(v)
}

// blankLine overwrites the line of an error with spaces; it returns false if the line was blank already.
func (d *Document) blankLine(b []byte, e *toml.DecodeError) bool {
	n, _ := e.Position()
	a := 0
	for range n - 1 {
		a += bytes.IndexByte(b[a:], '\n') + 1
	}
	line := b[a:]
	if z := bytes.IndexByte(line, '\n'); z >= 0 {
		line = line[:z]
	}
	changed := false
	for i := range line {
		changed = changed || line[i] != ' '
		line[i] = ' '
	}
	return changed
}

func (d *Document) decodeError(e *toml.DecodeError, t reflect.Type) finding.Finding {
	n, c := e.Position()
	return finding.Finding{Place: finding.Place{File: d.file, Line: n, Column: c}, Text: errorText(e, t)}
}

func (d *Document) syntaxError(err error) finding.Finding {
	e := &toml.DecodeError{}
	if errors.As(err, &e) {
		return d.decodeError(e, nil)
	}
	return finding.Finding{Place: finding.Place{File: d.file, Line: 1, Column: 1}, Text: err.Error()}
}

func (d *Document) unknownKeys(e *toml.StrictMissingError, t reflect.Type) finding.List {
	var l finding.List
	for i := range e.Errors {
		x := &e.Errors[i]
		n, c := x.Position()
		k := x.Key()
		p := finding.Place{File: d.file, Line: n, Column: c}
		l = append(l, finding.Finding{Place: p, Text: fmt.Sprintf("unknown key %s; known here: %s",
			k[len(k)-1], knownKeys(t, k[:len(k)-1]))})
	}
	slices.SortStableFunc(l, func(a, b finding.Finding) int { return a.Place.Line - b.Place.Line })
	return l
}
