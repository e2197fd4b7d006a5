package difference

import (
	"fmt"
	"reflect"
	"slices"

	"sardineknot.example/sardineknot"
)

// fields holds the nonzero field values of one object as text, by field name.
type fields map[string]string

// accountFields returns the fields of each client account of c. The names of
// the fields of work have the prefix "Work[NAME].".
func accountFields(c *sardineknot.Configuration) objects {
	o := make(objects, len(c.Contracts))
	for _, k := range c.Contracts {
		f := make(fields)
		f.add("", k)
		for _, w := range k.Work {
			f.add("Work["+string(w.Name)+"].", w)
		}
		o[string(k.Account)] = f
	}
	return o
}

// backendFields returns the fields of each backend server of c.
func backendFields(c *sardineknot.Configuration) objects {
	o := make(objects, len(c.BackendServers))
	for _, b := range c.BackendServers {
		f := make(fields)
		f.add("", b)
		o[string(b.Name)] = f
	}
	return o
}

// linkFields returns the fields of each link of c. A link is named after its
// zones in alphabetical order, so that the order in which they are declared
// makes no difference.
func linkFields(c *sardineknot.Configuration) objects {
	o := make(objects, len(c.Links))
	for _, l := range c.Links {
		z := []sardineknot.AvailabilityZone{l.From, l.To}
		slices.Sort(z)
		l.From, l.To = z[0], z[1]
		f := make(fields)
		f.add("", l)
		o[fmt.Sprintf("%s to %s", l.From, l.To)] = f
	}
	return o
}

// add adds the exported, nonzero fields of structure, which is a struct, except
// slices. The names of the fields are preceded by prefix.
func (f fields) add(prefix string, structure any) {
	v := reflect.ValueOf(structure)
	for i := range v.NumField() {
		t := v.Type().Field(i)
		if !t.IsExported() || t.Type.Kind() == reflect.Slice || v.Field(i).IsZero() {
			continue
		}
		f[prefix+t.Name] = fmt.Sprint(v.Field(i).Interface())
	}
}
