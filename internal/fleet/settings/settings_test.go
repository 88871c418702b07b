package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/document/section"
	"github.com/bilberryrock/bilberryrock/internal/fleet/settings"
)

// TestInvalidSettings guards against invalid settings that are accepted, and against an
// error that does not name the file, section and key.
func TestInvalidSettings(t *testing.T) {
	base := readBase(t)
	datadriven.RunTest(t, "testdata/faults.txt", func(t *testing.T, d *datadriven.TestData) string {
		content := base
		if d.Cmd == "replace" {
			content = replaceLines(base, d.Input)
		}
		if d.Cmd == "append" {
			content += d.Input + "\n"
		}
		if d.Cmd == "file" {
			content = d.Input
		}
		if _, err := settings.Parse("a.ini", []byte(content)); err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}

// replaceLines replaces each line of base whose key is set by a line of changes with
// that line. A line of changes that ends in "=" removes the value.
func replaceLines(base, changes string) string {
	lines := strings.Split(base, "\n")
	for change := range strings.SplitSeq(changes, "\n") {
		key, _, _ := strings.Cut(change, "=")
		for i, line := range lines {
			if strings.HasPrefix(line, strings.TrimSpace(key)+" =") {
				lines[i] = change
			}
		}
	}
	return strings.Join(lines, "\n")
}

// TestDocumentation guards against a key that docs/configuration.md does not describe
// with its default and constraint.
func TestDocumentation(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../../docs/configuration.md")
	is.NoErr(err)
	for _, k := range settings.Keys() {
		if !strings.Contains(string(raw), k.Row()) {
			t.Errorf("docs/configuration.md has no row\n%s", k.Row())
		}
	}
}

// TestSectionDocumentation guards against a key of the configuration sections that
// docs/configuration.md does not describe with its default and constraint.
func TestSectionDocumentation(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../../docs/configuration.md")
	is.NoErr(err)
	for _, k := range section.Keys() {
		row := fmt.Sprintf("| `%s` | `%s` | %s | %s | %s |", k.Kind, k.Name, k.Unit, defaultOf(k), k.Constraint)
		if !strings.Contains(string(raw), row) {
			t.Errorf("docs/configuration.md has no row\n%s", row)
		}
	}
}

func defaultOf(k section.Key) string {
	if k.Required {
		return "required"
	}
	return k.Default
}

// TestSecretsNotInErrors guards against an error that contains the content of a secret
// file.
func TestSecretsNotInErrors(t *testing.T) {
	is := is.New(t)
	secret := t.TempDir() + "/secret"
	is.NoErr(os.WriteFile(secret, []byte("verysecret"), 0o600))
	content := replaceLines(readBase(t), "id =") + "\n[upstreams]\ntokenFile = " + secret + "\n"
	_, err := settings.Parse("a.ini", []byte(content))
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "verysecret"))
}

func readBase(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("testdata/base.ini")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
