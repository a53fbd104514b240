// Package yamlfile reads the operators' YAML files, strictly: a key that is not known, a key
// given twice or a value of the wrong type is refused with its line and column.
package yamlfile

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
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
	return yaml.UnmarshalWithOptions(text, v, yaml.Strict(), yaml.DisallowUnknownField())
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
