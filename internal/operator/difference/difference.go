// Package difference compares two configurations, client account by client
// account and backend server by backend server.
package difference

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"sardineknot.example/sardineknot"
)

// action is what happens to an object.
type action string

// The actions.
const (
	actionAdd    action = "Add"
	actionChange action = "Change"
	actionRemove action = "Remove"
)

// Difference is what has to change for one configuration to become another.
type Difference struct {
	// Changes is ordered by kind and name.
	Changes []change
}

// change is the change of one object.
type change struct {
	Action action
	// Kind is "ClientAccount", "BackendServer" or "Link".
	Kind string
	Name string
	// Fields holds the fields that differ, ordered by name.
	Fields []fieldChange
}

// fieldChange is the change of one field. A value that is not set is empty.
type fieldChange struct {
	Field  string
	Before string
	After  string
}

// NewDifference returns what turns before into after. Neither is nil.
func NewDifference(before, after *sardineknot.Configuration) Difference {
	d := Difference{Changes: []change{}}
	d.compare("ClientAccount", accounts(before), accounts(after))
	d.compare("BackendServer", backends(before), backends(after))
	d.compare("Link", links(before), links(after))
	return d
}

// Empty reports whether nothing has to change.
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

// Write writes d as text for operators.
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

// String returns the change as text.
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

// objects holds the fields of objects by their names.
type objects map[string]fields

// compare adds the changes of objects of one kind.
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
