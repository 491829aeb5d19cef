package code

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the table in docs/ERRORS.md")

const (
	errorsPage = "../docs/ERRORS.md"
	tableBegin = "<!-- table begin -->\n"
	tableEnd   = "<!-- table end -->\n"
)

// renderTable returns the table in the Markdown form of docs/ERRORS.md.
func renderTable() string {
	var rows strings.Builder
	rows.WriteString("| code | name | status | run | come back | what to do |\n|---|---|---|---|---|---|\n")
	for _, info := range Table {
		retry := "no"
		if info.Retry {
			retry = "yes"
		}
		fmt.Fprintf(&rows, "| %d | `%s` | %d | %s | %s | %s |\n", info.Code, info.Name, info.Status, info.Run, retry, info.Help)
	}
	return rows.String()
}

func TestTableIsInTheDocs(t *testing.T) {
	raw, err := os.ReadFile(errorsPage)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, found := strings.Cut(string(raw), tableBegin)
	table, tail, closed := strings.Cut(rest, tableEnd)
	if !found || !closed {
		t.Fatal("the page has no table")
	}
	if *update {
		page := head + tableBegin + renderTable() + tableEnd + tail
		if err := os.WriteFile(errorsPage, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if table != renderTable() {
		t.Error("docs/ERRORS.md differs from the code; run go test ./code -update")
	}
}

func TestCodesAreUniqueAndAscending(t *testing.T) {
	names := map[string]bool{}
	for i, info := range Table {
		if i > 0 && Table[i-1].Code >= info.Code {
			t.Errorf("%d does not follow %d", info.Code, Table[i-1].Code)
		}
		if names[info.Name] {
			t.Errorf("%q is used twice", info.Name)
		}
		names[info.Name] = true
		if info.Help == "" || info.Status < 200 {
			t.Errorf("%d is incomplete", info.Code)
		}
	}
}
