package yamlfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

type value struct {
	A int `yaml:"a"`
	B []value
}

func (v value) Valid() error {
	if v.A < 0 {
		return errors.New("field a: negative")
	}
	return nil
}

func TestLoad(t *testing.T) {
	for text, want := range map[string]string{
		"a: 1\n":         "",
		"a: -1\n":        "field a: negative",
		"c: 1\n":         `unknown field "c"`,
		"a: 1\na: 2\n":   "already defined",
		"a: x\n":         "[1:4]",
		"b:\n  ! 0":      "not YAML this program can read", // the library panics
		"a: [":           "v.yaml",
		"\x00\xff\xfe\n": "v.yaml",

		// The library would need gigabytes of memory for these.
		"b: " + strings.Repeat("[", 250_000):                                "[1:104] nested too deep",
		"b: " + strings.Repeat("{a: ", 60_000):                              "nested too deep",
		"b:\n  " + strings.Repeat("- ", 125_000):                            "[2:1001] nested too deep",
		"b: " + strings.Repeat("[", 120_000) + strings.Repeat("]", 120_000): "nested too deep",
		"a: 1 # " + strings.Repeat("[", 1000) + "\n":                        "",
	} {
		path := filepath.Join(t.TempDir(), "v.yaml")
		os.WriteFile(path, []byte(text), 0o600)
		_, err := Load[value](path)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	big := filepath.Join(t.TempDir(), "big.yaml")
	os.WriteFile(big, make([]byte, MaxSize+1), 0o600)
	if _, err := Load[value](big); err == nil || !strings.Contains(err.Error(), "more than") {
		t.Errorf("a file too large: %v", err)
	}
}
