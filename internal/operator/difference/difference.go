// Package difference compares two configurations and lists the client accounts,
// backend servers and links that differ, with their fields.
package difference

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"sardineknot.example/sardineknot"
)

// action states whether an object is added, changed or removed.
type action string

// The actions. Their values appear in the JSON output of commands.
const (
	actionAdd    action = "Add"
	actionChange action = "Change"
	actionRemove action = "Remove"
)

// Difference holds the changes that turn one configuration into another.
type Difference struct {
	// Changes holds the changes of client accounts, then those of backend servers
	// and of links, each ordered by name. It is not nil.
	Changes []change
}

// change describes how one client account, backend server or link differs
// between two configurations.
type change struct {
	Action action
	// Kind is "ClientAccount", "BackendServer" or "Link".
	Kind string
	Name string
	// Fields holds the fields that differ, ordered by field name.
	Fields []fieldChange
}

// fieldChange describes how one field of an object differs. Before and After
// are the values of the field as text, or empty if the field is not set.
type fieldChange struct {
	Field  string
	Before string
	After  string
}

// NewDifference returns the changes that turn the configuration before into the
// configuration after. Neither may be nil.
func NewDifference(before, after *sardineknot.Configuration) Difference {
	d := Difference{Changes: []change{}}
	d.compare("ClientAccount", accountFields(before), accountFields(after))
	d.compare("BackendServer", backendFields(before), backendFields(after))
	d.compare("Link", linkFields(before), linkFields(after))
	return d
}

// Empty reports whether there are no changes.
func (d Difference) Empty() bool { return len(d.Changes) == 0 }

// Summary returns the number of changes by action, as in "1 to add, 0 to
// change, 2 to remove".
func (d Difference) Summary() string {
	n := make(map[action]int)
	for _, c := range d.Changes {
		n[c.Action]++
	}
	return fmt.Sprintf("%d to add, %d to change, %d to remove", n[actionAdd], n[actionChange], n[actionRemove])
}

// Write writes d to w as text: one line for each change, followed by the fields
// that differ unless the object is removed, and the summary.
func (d Difference) Write(w io.Writer) error {
	m := map[action]string{actionAdd: "+", actionChange: "~", actionRemove: "-"}
	for _, c := range d.Changes {
		_, err := fmt.Fprintf(w, "%s %s %s\n", m[c.Action], c.Kind, c.Name)
		if err != nil {
			return err
		}
		if c.Action == actionRemove {
			continue
		}
		for _, f := range c.Fields {
			fmt.Fprintf(w, "    %s\n", f)
		}
	}
	_, err := fmt.Fprintln(w, d.Summary())
	return err
}

// String returns the field and its values, as in "Slots: 4 -> 8".
func (f fieldChange) String() string {
	switch {
	case f.Before == "":
		return f.Field + ": " + f.After
	case f.After == "":
		return f.Field + ": " + f.Before + " -> not set"
	default:
		return f.Field + ": " + f.Before + " -> " + f.After
	}
}

// objects holds the fields of all objects of one kind, by object name.
type objects map[string]fields

// compare appends the changes between two sets of objects of the given kind:
// those of the old configuration, before, and those of the new one, after.
func (d *Difference) compare(kind string, before, after objects) {
	n := maps.Clone(before)
	maps.Copy(n, after)
	for _, k := range slices.Sorted(maps.Keys(n)) {
		c := change{Action: actionChange, Kind: kind, Name: k, Fields: compareFields(before[k], after[k])}
		switch {
		case before[k] == nil:
			c.Action = actionAdd
		case after[k] == nil:
			c.Action = actionRemove
		}
		if len(c.Fields) > 0 || c.Action != actionChange {
			d.Changes = append(d.Changes, c)
		}
	}
}

// compareFields returns the changes between the old fields of an object,
// before, and its new fields, after, ordered by field name.
func compareFields(before, after fields) []fieldChange {
	n := make(fields, len(before)+len(after))
	maps.Copy(n, before)
	maps.Copy(n, after)
	var l []fieldChange
	for _, k := range slices.Sorted(maps.Keys(n)) {
		if before[k] != after[k] {
			l = append(l, fieldChange{Field: k, Before: before[k], After: after[k]})
		}
	}
	return l
}
