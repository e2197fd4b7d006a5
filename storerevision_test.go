package sardineknot_test

import (
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// TestStoreRevision covers a store that came back from an older copy: it gives
// out numbers again, and the greater number is then not the newer revision.
func TestStoreRevision(t *testing.T) {
	checkOrder := func(older, newer sardineknot.StoreRevision) {
		t.Helper()
		is := is.New(t)
		is.Equal(older.Compare(newer), -1)
		is.Equal(newer.Compare(older), 1)
		is.Equal(newer.Compare(newer), 0)
		is.Equal(older.Later(newer), newer)
		is.Equal(newer.Later(older), newer)
	}
	checkOrder(sardineknot.StoreRevision{Number: 4}, sardineknot.StoreRevision{Number: 5})
	checkOrder(sardineknot.StoreRevision{Number: 5}, sardineknot.StoreRevision{Era: 1, Number: 4})
	checkOrder(sardineknot.StoreRevision{Era: 1, Number: 5}, sardineknot.StoreRevision{Era: 2})
}
