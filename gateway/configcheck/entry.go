package configcheck

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// entry is a part of a configuration as a list of fields, for comparison.
type entry struct {
	// name identifies the entry within its list.
	name   string
	fields []field
	// keys are secrets: only their number may be shown.
	keys []string
}

// none is the value that is shown for a missing field or entry.
const none = "none"

// describe returns the fields that have a value, and the number of keys.
func (e *entry) describe() string {
	var texts []string
	for _, f := range e.fields {
		if f.value != none {
			texts = append(texts, f.name+"="+f.value)
		}
	}
	if len(e.keys) > 0 {
		texts = append(texts, "keys="+strconv.Itoa(len(e.keys)))
	}
	return cmp.Or(strings.Join(texts, " "), "empty")
}

// compareEntries returns the differences between two lists, sorted by name. Entries that share a name are paired in
// order. kind is put before the name.
func compareEntries(kind string, before, after []entry) []Difference {
	old, current := byName(before), byName(after)
	names := make([]string, 0, len(old)+len(current))
	for name := range old {
		names = append(names, name)
	}
	for name := range current {
		if _, ok := old[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var differences []Difference
	for _, name := range names {
		label := kind + " " + name
		was, existed := old[name]
		is, exists := current[name]
		switch {
		case !existed:
			differences = append(differences, Difference{Change: ChangeAdded, Entry: label, Old: none, New: is.describe()})
		case !exists:
			differences = append(differences, Difference{Change: ChangeRemoved, Entry: label, Old: was.describe(), New: none})
		default:
			differences = append(differences, compareFields(label, was, is)...)
		}
	}
	return differences
}

// byName returns the entries by their quoted names, followed by a number if the name is not unique.
func byName(entries []entry) map[string]*entry {
	all := make(map[string]*entry, len(entries))
	count := make(map[string]int, len(entries))
	for i := range entries {
		name := entries[i].name
		count[name]++
		quoted := strconv.Quote(name)
		if count[name] > 1 {
			quoted += " (" + strconv.Itoa(count[name]) + ")"
		}
		all[quoted] = &entries[i]
	}
	return all
}

// compareFields returns the differences between two versions of an entry with the same fields.
func compareFields(label string, was, is *entry) []Difference {
	var differences []Difference
	for i, f := range is.fields {
		if old := was.fields[i].value; old != f.value {
			differences = append(differences, Difference{Change: ChangeModified, Entry: label, Field: f.name, Old: old, New: f.value})
		}
	}
	added, removed := countMissing(is.keys, was.keys), countMissing(was.keys, is.keys)
	if added+removed > 0 {
		differences = append(differences, Difference{Change: ChangeModified, Entry: label, Field: "keys", Old: strconv.Itoa(len(was.keys)),
			New: strconv.Itoa(len(is.keys)) + " (" + strconv.Itoa(added) + " added, " + strconv.Itoa(removed) + " removed)"})
	}
	return differences
}

// countMissing returns how many of the keys are not among the others.
func countMissing(keys, others []string) int {
	known := make(map[string]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	missing := 0
	for _, key := range keys {
		if !known[key] {
			missing++
		}
	}
	return missing
}
