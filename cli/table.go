package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer) *table {
	const padding = 2
	return &table{w: tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)}
}

// row writes one line of columns. Control characters in them, which may come
// from a key or a reason, are replaced so that they do not reach the terminal.
func (t *table) row(columns ...any) {
	parts := make([]string, len(columns))
	for i, c := range columns {
		parts[i] = replaceControlChars(fmt.Sprint(c))
	}
	fmt.Fprintln(t.w, strings.TrimRight(strings.Join(parts, "\t"), "\t "))
}

func (t *table) flush() error { return t.w.Flush() }

func replaceControlChars(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "unknown"
	}
	return t.UTC().Format("2006-01-02 15:04:05")
}

func textIf(v bool, text string) string {
	if v {
		return text
	}
	return ""
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
