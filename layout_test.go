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

// customaryLocals holds the local names of more than one letter that the layout
// rules permit.
var customaryLocals = map[string]bool{"_": true, "err": true, "ok": true, "ctx": true, "cancel": true, "stop": true}

// TestLayout checks the rules of docs/STYLE.md that the linter cannot check.
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

// sources returns the paths of the Go files that are neither tests nor
// generated.
func sources(t *testing.T) []string {
	var l []string
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		g := strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".twirp.go")
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !g {
			l = append(l, path)
		}
		return err
	})
	is.New(t).NoErr(err)
	return l
}

func checkDepth(t *testing.T, path string) {
	if strings.HasPrefix(path, "internal") && strings.Count(filepath.ToSlash(path), "/") != 3 {
		t.Errorf("%s is not at internal/AREA/PEER", path)
	}
}

func checkNames(t *testing.T, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
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

func checkReceiver(t *testing.T, function *ast.FuncDecl) {
	if function.Recv == nil || len(function.Recv.List[0].Names) == 0 {
		return
	}
	if s := function.Recv.List[0].Names[0].Name; len(s) != 1 {
		t.Errorf("receiver %s of %s has more than one letter", s, function.Name)
	}
}

func checkLocals(t *testing.T, operator token.Token, operands []ast.Expr) {
	if operator != token.DEFINE {
		return
	}
	for _, e := range operands {
		i, ok := e.(*ast.Ident)
		if ok && len(i.Name) > 1 && !customaryLocals[i.Name] {
			t.Errorf("local %s has more than one letter", i.Name)
		}
	}
}

func exportedTypes(file *ast.File) []string {
	var l []string
	for _, d := range file.Decls {
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
