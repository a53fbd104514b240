// Package yamlfile reads the operators' YAML files, strictly: a key that is not known, a key
// given twice or a value of the wrong type is refused with its line and column.
package yamlfile

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// MaxSize bounds a file: a larger one is no operators' file.
const MaxSize = 4 << 20

// Decode reads a text. The YAML library panics on some malformed text (fuzzing found
// "routes:\n  ! 0"): a bad text is an error of that text, never the end of the program.
func Decode(text []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("not YAML this program can read (%v)", r)
		}
	}()
	if len(text) > MaxSize {
		return fmt.Errorf("%d bytes, more than %d", len(text), MaxSize)
	}
	if err := checkNesting(text); err != nil {
		return err
	}
	return yaml.UnmarshalWithOptions(text, v, yaml.Strict(), yaml.DisallowUnknownField())
}

// Bounds of nesting: the library takes memory with its square (250 KB of "[" take over 6 GB).
const (
	maxFlowDepth   = 100  // flow sequences and mappings in one another
	maxEntryColumn = 1000 // the column of a block sequence's entry, as in "- - - a"
)

// checkNesting refuses a text that is nested deeper than any operators' file.
func checkNesting(text []byte) error {
	depth := 0
	for _, t := range lexer.Tokenize(string(text)) {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth = max(depth-1, 0)
		}
		if depth > maxFlowDepth || t.Type == token.SequenceEntryType && t.Position.Column > maxEntryColumn {
			return fmt.Errorf("[%d:%d] nested too deep", t.Position.Line, t.Position.Column)
		}
	}
	return nil
}

// Read returns the value that a file holds. An error names the file.
func Read[T any](path string) (v T, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return v, err
	}
	return Parse[T](path, text)
}

// Parse returns the value that a text holds; name is only for messages.
func Parse[T any](name string, text []byte) (v T, err error) {
	if err := Decode(text, &v); err != nil {
		return v, fmt.Errorf("%s: %s", name, yaml.FormatError(err, false, true))
	}
	return v, nil
}

// Valid is a value that proves itself: an error names each field that can't be used.
type Valid interface{ Valid() error }

// Load reads a file's value and proves it. An error names the file.
func Load[T Valid](path string) (v T, err error) {
	if v, err = Read[T](path); err != nil {
		return v, err
	}
	if err := v.Valid(); err != nil {
		return v, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}
