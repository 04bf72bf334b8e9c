package fault

import (
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

var callersRow = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| ([0-9]+) \\| ([a-z-]+) \\| (.+) \\|$")

// TestCallersPageNamesEveryKind checks that docs/CALLERS.md lists exactly the kinds
// of the table, each with its status and outcome.
func TestCallersPageNamesEveryKind(t *testing.T) {
	page, err := os.ReadFile("../docs/CALLERS.md")
	require.NoError(t, err)
	var documented []Kind
	for _, row := range callersRow.FindAllStringSubmatch(string(page), -1) {
		kind := Kind(row[1])
		answer, ok := answers[kind]
		require.True(t, ok, "%s is no kind", kind)
		require.Equal(t, strconv.Itoa(answer.Status), row[2], kind)
		require.Equal(t, string(answer.Outcome), row[3], kind)
		documented = append(documented, kind)
	}
	kinds := Kinds()
	slices.Sort(kinds)
	slices.Sort(documented)
	require.Equal(t, kinds, documented)
}
