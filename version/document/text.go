package document

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// errorText describes an error and the expected value; a nil type stands for a syntax error.
func errorText(e *toml.DecodeError, t reflect.Type) string {
	text := strings.TrimPrefix(e.Error(), "toml: ")
	k := e.Key()
	if t == nil || len(k) == 0 {
		return "not TOML: " + text
	}
	if f, ok := fieldType(t, k); ok {
		return fmt.Sprintf("%s has a value of the wrong type; write %s", k[len(k)-1], expectedValue(f))
	}
	return fmt.Sprintf("%s: %s", k[len(k)-1], text)
}

// expectedValue describes the TOML values that decode into a Go type.
func expectedValue(t reflect.Type) string {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return "a duration like \"250ms\""
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "an array"
	default:
		return "a table"
	}
}

// fieldType returns the type of the field at a path.
func fieldType(t reflect.Type, path toml.Key) (reflect.Type, bool) {
	for _, k := range path {
		f, ok := findField(elementType(t), k)
		if !ok {
			return nil, false
		}
		t = f.Type
	}
	return t, true
}

// findField finds a field by its name in any case, as the decoder does.
func findField(t reflect.Type, key string) (reflect.StructField, bool) {
	if t.Kind() != reflect.Struct {
		return reflect.StructField{}, false
	}
	return t.FieldByNameFunc(func(n string) bool { return strings.EqualFold(n, key) })
}

// knownKeys lists the valid keys of the table at a path.
func knownKeys(t reflect.Type, path toml.Key) string {
	f, ok := fieldType(t, path)
	if !ok {
		return "none"
	}
	t = f
	var l []string
	if t = elementType(t); t.Kind() == reflect.Struct {
		for i := range t.NumField() {
			if f := t.Field(i); f.IsExported() {
				l = append(l, f.Name)
			}
		}
	}
	return strings.Join(l, ", ")
}

// elementType returns the type to which nested pointers and slices lead.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}
