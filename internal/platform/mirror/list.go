package mirror

import (
	"context"
	"time"
)

// listInterval is the least time between two reads of the entries of Prefix that
// follow failed reads of all keys.
const listInterval = time.Second

// listPrefix reads the entries of Prefix and reports them, until OnList returns zero.
// It has no effect once all keys were read, or if it was called a short time ago. A
// host must not read all keys because it could not read these: an overloaded service
// would get many times the load.
func (m *Mirror) listPrefix(ctx context.Context) error {
	n := m.Clock.Now()
	if m.loaded || m.List == nil || m.lists > 0 && n.Sub(m.listedAt) < listInterval {
		return nil
	}
	for {
		l, err := m.List(ctx, m.Prefix)
		if err != nil {
			return err
		}
		for _, e := range l {
			m.listedEra = max(m.listedEra, e.Revision.Era)
		}
		m.replace(l, m.listedEra)
		m.listedAt = m.Clock.Now()
		d := m.OnList(m.lists)
		m.lists++
		if d == 0 {
			return nil
		}
		err = m.Sleep(ctx, d)
		if err != nil {
			return err
		}
	}
}
