package trace

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"baobabpaddle/fleet/dispatch"
)

// KeyVersions is the key of Versions in the lines about the list of upstreams.
const KeyVersions = "versions"

// maxLoggedVersions is the maximum number of pairs of service and version in one line.
const maxLoggedVersions = 16

// Versions returns the number of listed upstreams of each service and software version, such
// as "desk v1: 3, desk v2: 1".
func Versions(list map[string]dispatch.Upstream) string {
	counts := make(map[string]int)
	for _, u := range list {
		counts[u.Service+" "+u.Version]++
	}
	names := slices.Sorted(maps.Keys(counts))
	texts := make([]string, 0, maxLoggedVersions)
	for _, name := range names[:min(len(names), maxLoggedVersions)] {
		texts = append(texts, name+": "+strconv.Itoa(counts[name]))
	}
	return strings.Join(texts, ", ")
}
