package sardineknot_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// customary are the longer names that readers expect for locals.
var customary = map[string]bool{"_": true, "err": true, "ok": true, "ctx": true, "cancel": true, "stop": true}

// TestLayout checks the rules of docs/STYLE.md that the linter does not know.
func TestLayout(t *testing.T) {
	types := make(map[string][]string)
	for _, p := range sources(t) {
		f, err := parser.ParseFile(token.NewFileSet(), p, nil, 0)
		is.New(t).NoErr(err)
		t.Run(p, func(t *testing.T) {
			checkDepth(t, p)
			checkNames(t, f)
		})
		d := filepath.Dir(p)
		types[d] = append(types[d], exportedTypes(f)...)
	}
	for d, l := range types {
		if strings.HasPrefix(d, "internal") && len(l) > 1 {
			t.Errorf("%s has more than one exported type: %v", d, l)
		}
	}
}

// sources returns the Go files that are neither tests nor generated.
func sources(t *testing.T) []string {
	var l []string
	err := filepath.WalkDir(".", func(p string, _ fs.DirEntry, err error) error {
		g := strings.HasSuffix(p, ".pb.go") || strings.HasSuffix(p, ".twirp.go")
		if strings.HasSuffix(p, ".go") && !strings.HasSuffix(p, "_test.go") && !g {
			l = append(l, p)
		}
		return err
	})
	is.New(t).NoErr(err)
	return l
}

func checkDepth(t *testing.T, p string) {
	if strings.HasPrefix(p, "internal") && strings.Count(filepath.ToSlash(p), "/") != 3 {
		t.Errorf("%s is not at internal/AREA/PEER", p)
	}
}

func checkNames(t *testing.T, f *ast.File) {
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			checkReceiver(t, n)
		case *ast.AssignStmt:
			checkLocals(t, n.Tok, n.Lhs)
		case *ast.RangeStmt:
			checkLocals(t, n.Tok, []ast.Expr{n.Key, n.Value})
		}
		return true
	})
}

func checkReceiver(t *testing.T, n *ast.FuncDecl) {
	if n.Recv == nil || len(n.Recv.List[0].Names) == 0 {
		return
	}
	if s := n.Recv.List[0].Names[0].Name; len(s) != 1 {
		t.Errorf("receiver %s of %s has more than one letter", s, n.Name)
	}
}

func checkLocals(t *testing.T, k token.Token, l []ast.Expr) {
	if k != token.DEFINE {
		return
	}
	for _, e := range l {
		i, ok := e.(*ast.Ident)
		if ok && len(i.Name) > 1 && !customary[i.Name] {
			t.Errorf("local %s has more than one letter", i.Name)
		}
	}
}

func exportedTypes(f *ast.File) []string {
	var l []string
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.TYPE {
			continue
		}
		for _, s := range g.Specs {
			if n := s.(*ast.TypeSpec).Name; n.IsExported() {
				l = append(l, n.Name)
			}
		}
	}
	return l
}
