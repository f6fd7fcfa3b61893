package patch

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/finding"
)

// locator finds the position in a patch of a key of the resulting configuration.
type locator struct {
	file   *File
	result reflect.Value
}

func newLocator(f *File, c *config.Config) *locator {
	return &locator{file: f, result: reflect.ValueOf(c).Elem()}
}

// Finding returns a finding at the position of the key in the patch; if the patch doesn't contain the element, the text
// names it instead.
func (p *locator) Finding(path, format string, args ...any) finding.Finding {
	t, rest, ok := p.pathInPatch(path)
	text := fmt.Sprintf(format, args...)
	if !ok {
		text = rest + ": " + text
	}
	return p.file.document.Finding(t, "%s", text)
}

// isSet reports whether the patch sets a key of the result.
func (p *locator) isSet(path string) bool {
	t, _, ok := p.pathInPatch(path)
	return ok && p.file.document.Has(t)
}

// pathInPatch converts a path of the result into that of the patch, as far as the patch contains it, and returns the
// names of the elements on the path; ok reports whether the patch contains all of them.
func (p *locator) pathInPatch(path string) (translated, names string, ok bool) {
	to, from := reflect.ValueOf(p.file.Patch), p.result
	ok = true
	for s := range strings.SplitSeq(path, ".") {
		key, index, indexed := strings.Cut(strings.TrimSuffix(s, "]"), "[")
		if !indexed {
			if ok && key != "" {
				translated = joinPath(translated, key)
			}
			continue
		}
		i, _ := strconv.Atoi(index)
		from = from.FieldByName(key).Index(i)
		name := from.FieldByName("Name").String()
		names = strings.TrimPrefix(fmt.Sprintf("%s, %s %q", names, key, name), ", ")
		if !ok {
			continue
		}
		to = to.FieldByName(key)
		j := indexByName(to, name)
		if ok = j >= 0; ok {
			to = to.Index(j)
			translated = joinPath(translated, fmt.Sprintf("%s[%d]", key, j))
		}
	}
	return translated, names, ok
}

func indexByName(l reflect.Value, name string) int {
	for i := range l.Len() {
		if l.Index(i).FieldByName("Name").String() == name {
			return i
		}
	}
	return -1
}

func joinPath(base, key string) string {
	if base == "" {
		return key
	}
	return base + "." + key
}
