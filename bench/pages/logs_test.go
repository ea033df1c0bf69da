package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// loggedPaths are the files and folders whose log messages docs/LOGS.md lists.
var loggedPaths = []string{
	"gateway/serve.go", "gateway/internal/serve", "gateway/internal/controller",
	"controller/serve.go", "controller/internal/gateway", "controller/internal/peer",
	"controller/internal/replica", "controller/internal/operator/configuration.go",
	"fleet/trace", "fleet/telemetry/writer.go", "fleet/program/pause.go", "fleet/program/server.go", "fleet/program/reporter.go",
}

// TestLogLines checks that docs/LOGS.md lists exactly the log messages in the code. It
// finds messages in log calls, in constants named Msg or msg, and in encoded lines.
func TestLogLines(t *testing.T) {
	page := readFile(t, "docs", "LOGS.md")
	message := regexp.MustCompile(`(?:log\.(?:Info|Warn|Error)\(|logged\(|[Mm]sg[A-Za-z]+ += )"([^"]+)"|\\"msg\\":\\"([^"\\]+)|"msg":"([^"]+)"`)
	var code []string
	for _, place := range loggedPaths {
		for _, file := range goFiles(t, place) {
			for _, m := range message.FindAllStringSubmatch(file, -1) {
				code = append(code, strings.Join(m[1:], ""))
			}
		}
	}
	slices.Sort(code)
	for _, m := range slices.Compact(code) {
		if !strings.Contains(page, "`"+m+"`") {
			t.Errorf("log message %q is in the code but not in docs/LOGS.md", m)
		}
	}
	for _, cell := range regexp.MustCompile("(?m)^\\| (`[a-z][^|]*`) \\|").FindAllStringSubmatch(page, -1) {
		for _, m := range regexp.MustCompile("`([^`]+ [^`]+)`").FindAllStringSubmatch(cell[1], -1) {
			if !slices.Contains(code, m[1]) {
				t.Errorf("log message %q is in docs/LOGS.md but not in the code", m[1])
			}
		}
	}
}

// goFiles returns the text of a Go file, or of each Go file directly in a folder. Test
// files are left out.
func goFiles(t *testing.T, place string) []string {
	t.Helper()
	path := filepath.Join("..", "..", filepath.FromSlash(place))
	names := []string{path}
	if !strings.HasSuffix(place, ".go") {
		var err error
		if names, err = filepath.Glob(filepath.Join(path, "*.go")); err != nil {
			t.Fatal(err)
		}
	}
	var out []string
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, string(text))
	}
	return out
}
