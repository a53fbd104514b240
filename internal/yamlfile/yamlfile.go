// Package yamlfile reads the operators' YAML files strictly: an unknown key, a duplicate key or a value of
// the wrong type is refused with its line and column.
package yamlfile

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// MaxSize limits the size of a file in bytes.
const MaxSize = 4 << 20

// Decode decodes a YAML text into v. The YAML library panics on some malformed texts (fuzzing found
// "routes:\n  ! 0"), which Decode turns into an error.
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

// Limits of nesting. The library's memory grows with the square of the depth: 250 KB of "[" take over 6 GB.
const (
	maxFlowDepth   = 100  // nested flow sequences and mappings
	maxEntryColumn = 1000 // column of a block sequence's entry, as in "- - - a"
)

// checkNesting refuses a text that is nested too deeply.
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

// Read decodes a file into a value. An error names the file.
func Read[T any](path string) (v T, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return v, err
	}
	return Parse[T](path, text)
}

// Parse decodes a text into a value; name is the file's name in messages.
func Parse[T any](name string, text []byte) (v T, err error) {
	if err := Decode(text, &v); err != nil {
		return v, fmt.Errorf("%s: %s", name, yaml.FormatError(err, false, true))
	}
	return v, nil
}

// Valid is a value with a method that validates it and returns an error that names the invalid fields.
type Valid interface{ Valid() error }

// Load decodes a file into a value and validates it. An error names the file.
func Load[T Valid](path string) (v T, err error) {
	if v, err = Read[T](path); err != nil {
		return v, err
	}
	if err := v.Valid(); err != nil {
		return v, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}
