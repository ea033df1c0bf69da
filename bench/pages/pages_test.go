package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var root = filepath.Join("..", "..")

func read(t *testing.T, parts ...string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(append([]string{root}, parts...)...))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// sources returns the text of all Go files below the folders, tests and
// generated code left out.
func sources(t *testing.T, folders ...string) string {
	t.Helper()
	var out strings.Builder
	for _, folder := range folders {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") ||
				strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return err
			}
			data, err := os.ReadFile(path)
			out.Write(data)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out.String()
}

// section returns the part of a page below a heading.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, ok := strings.Cut(page, heading+"\n")
	if !ok {
		t.Fatalf("no heading %q", heading)
	}
	if i := strings.Index(rest, "\n#"); i >= 0 {
		rest = rest[:i]
	}
	return rest
}

// all returns the first group of every match, sorted and without repeats.
func all(pattern, text string) []string {
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func same(t *testing.T, what string, pages, code []string) {
	t.Helper()
	for _, x := range pages {
		if !slices.Contains(code, x) {
			t.Errorf("%s %s stands in the pages and not in the code", what, x)
		}
	}
	for _, x := range code {
		if !slices.Contains(pages, x) {
			t.Errorf("%s %s stands in the code and not in the pages", what, x)
		}
	}
}

const firstColumn = "(?m)^\\| `([a-z_]+)` \\|"

func TestSettings(t *testing.T) {
	page := read(t, "docs", "OPERATIONS.md")
	for program, file := range map[string]string{
		"controller": "controller/settings.go",
		"gateway":    "gateway/settings.go",
		"sidecar":    "sidecar/settings.go",
		"baobabctl":  "baobabctl/settings.go",
		"credential": "fleet/credential/credential.go",

		"controller serve": "controller/serve_settings.go",
		"gateway serve":    "gateway/serve_settings.go",
	} {
		code := all("json:\"([a-z_]+)", read(t, strings.Split(file, "/")...))
		same(t, program+" setting", all(firstColumn, section(t, page, "### Settings: "+program)), code)
	}
}

func TestErrorCodes(t *testing.T) {
	page := read(t, "docs", "API.md")
	codes := all(`Code = "([a-z_]+)"`, read(t, "fleet", "problem", "problem.go"))
	same(t, "error code", all(firstColumn, section(t, page, "## Errors")), codes)
	inner := all(`problem.Code = "([a-z_]+)"`, read(t, "fleet", "wire", "work.go"))
	for _, code := range inner {
		if !strings.Contains(page, "`"+code+"`") {
			t.Errorf("error code %s stands in the code and not in the pages", code)
		}
	}
}

func TestMetrics(t *testing.T) {
	code := all("(?:Gauge|Histograms|Counter)\\([\"`]([a-z_]+)", sources(t, "controller", "gateway", "sidecar", "fleet/telemetry"))
	page := section(t, read(t, "docs", "OPERATIONS.md"), "## Metrics and alarms")
	same(t, "metric", all(firstColumn, page), code)
}

// kebab returns the flag that kong makes of a field's name.
func kebab(name string) string {
	name = regexp.MustCompile("([a-z])([A-Z])").ReplaceAllString(name, "$1-$2")
	return "--" + strings.ToLower(name)
}

func TestFlags(t *testing.T) {
	code := []string{"--help"}
	text := sources(t, "controller", "gateway", "sidecar", "baobabctl", "fleet/program")
	field := regexp.MustCompile("(?m)^\\s+([A-Z]\\w+)\\s+[\\w.\\[\\]]+\\s+`([^`]*help:[^`]*)`")
	for _, m := range field.FindAllStringSubmatch(text, -1) {
		if !strings.Contains(m[2], "cmd:") && !strings.Contains(m[2], "arg:") {
			code = append(code, kebab(m[1]))
		}
	}
	slices.Sort(code)
	page := section(t, read(t, "docs", "OPERATIONS.md"), "### Flags")
	same(t, "flag", all("`(--[a-z-]+)`", page), slices.Compact(code))
}

// TestNoMachinePaths keeps paths of a machine out of the pages and the settings.
func TestNoMachinePaths(t *testing.T) {
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/design/*.md", "examples/*/*.json"} {
		files, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(string(data), "/home/") || strings.Contains(string(data), "/root/") {
				t.Errorf("%s names a path of a machine", f)
			}
		}
	}
}

// TestKnownFailuresExist keeps names in the list of known failures that no test has any more out of
// it.
func TestKnownFailuresExist(t *testing.T) {
	listed := all(`(?m)^(Test\w+) \(`, read(t, "KNOWN-RED.txt"))
	for _, name := range listed {
		if !slices.Contains(tests(t), name) {
			t.Errorf("KNOWN-RED.txt lists %s, which is no test", name)
		}
	}
}

// tests returns the names of all tests of the repository.
func tests(t *testing.T) []string {
	t.Helper()
	var text strings.Builder
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		text.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all(`(?m)^func (Test\w+)\(`, text.String())
}
