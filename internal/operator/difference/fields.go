package difference

import (
	"fmt"
	"reflect"
	"slices"

	"sardineknot.example/sardineknot"
)

// fields holds the fields of an object that are not zero, as text.
type fields map[string]string

func accounts(c *sardineknot.Configuration) objects {
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

func backends(c *sardineknot.Configuration) objects {
	o := make(objects, len(c.BackendServers))
	for _, b := range c.BackendServers {
		f := make(fields)
		f.add("", b)
		o[string(b.Name)] = f
	}
	return o
}

// links names a link by its zones in the order of their names.
func links(c *sardineknot.Configuration) objects {
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

// add adds the fields of the struct s but for lists.
func (f fields) add(prefix string, s any) {
	v := reflect.ValueOf(s)
	for i := range v.NumField() {
		t := v.Type().Field(i)
		if !t.IsExported() || t.Type.Kind() == reflect.Slice || v.Field(i).IsZero() {
			continue
		}
		f[prefix+t.Name] = fmt.Sprint(v.Field(i).Interface())
	}
}
