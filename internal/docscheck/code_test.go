package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// sourceFile is a parsed Go file of the product.
type sourceFile struct {
	path string
	file *ast.File
}

// productFiles parses the Go files of the product except tests and generated
// code.
func productFiles(t *testing.T) []sourceFile {
	t.Helper()
	var out []sourceFile
	for _, dir := range []string{"internal", "operator", "cmd"} {
		err := filepath.WalkDir(filepath.Join(repoRoot, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			if strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			out = append(out, sourceFile{path, file})
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

var glossaryType = regexp.MustCompile("`([a-z]+\\.[A-Z][A-Za-z]*)`")

func TestGlossaryTypesExist(t *testing.T) {
	declared := make(map[string]bool)
	for _, f := range productFiles(t) {
		for _, name := range typeNames(f.file) {
			declared[f.file.Name.Name+"."+name] = true
		}
	}
	matches := glossaryType.FindAllStringSubmatch(mustLoadPage(t, "docs/GLOSSARY.md").text, -1)
	if len(matches) == 0 {
		t.Fatal("the glossary names no type")
	}
	for _, match := range matches {
		if !declared[match[1]] {
			t.Errorf("the glossary names the type %s, which does not exist", match[1])
		}
	}
}

func typeNames(file *ast.File) []string {
	var out []string
	for _, decl := range file.Decls {
		genDecl, ok := decl.(*ast.GenDecl)
		if !ok || genDecl.Tok != token.TYPE {
			continue
		}
		for _, spec := range genDecl.Specs {
			out = append(out, spec.(*ast.TypeSpec).Name.Name)
		}
	}
	return out
}

const metricsPage = "docs/operating/metrics.md"

var metricRow = regexp.MustCompile("(?m)^\\| `amaranthwheel_([a-z_]+)` ")

// TestMetricsAgreeWithCode checks that the page and the code name the same
// metrics.
func TestMetricsAgreeWithCode(t *testing.T) {
	documented := make(map[string]bool)
	for _, match := range metricRow.FindAllStringSubmatch(mustLoadPage(t, metricsPage).text, -1) {
		documented[match[1]] = true
	}
	emitted := emittedMetrics(t)
	for name, path := range emitted {
		if !documented[name] {
			t.Errorf("%s emits the metric %s, which %s does not have", path, name, metricsPage)
		}
	}
	for name := range documented {
		if emitted[name] == "" {
			t.Errorf("%s has the metric %s, which no code emits", metricsPage, name)
		}
	}
}

// memberPrefix is the start of the names of the metrics of package membership.
// They end in the name of a member's state.
const memberPrefix = "member_"

// emittedMetrics returns the names of the metrics and the file that emits each.
// A name that is not a literal is an error, except in package process: it
// forwards names of other packages, and passes its own to set and gauge as
// literals.
func emittedMetrics(t *testing.T) map[string]string {
	t.Helper()
	out := make(map[string]string)
	for _, f := range productFiles(t) {
		forwardsNames := f.file.Name.Name == "process"
		ast.Inspect(f.file, func(n ast.Node) bool {
			for _, expr := range metricNameExprs(n) {
				names := evalNames(expr)
				if len(names) == 0 && !forwardsNames {
					t.Errorf("%s: the name of a metric is not a string literal", f.path)
				}
				for _, text := range names {
					out[text] = f.path
				}
			}
			return true
		})
	}
	return out
}

// evalNames returns the names that an expression can evaluate to.
func evalNames(e ast.Expr) []string {
	if text, ok := stringLiteral(e); ok {
		return []string{text}
	}
	sum, ok := e.(*ast.BinaryExpr)
	if !ok {
		return nil
	}
	if text, _ := stringLiteral(sum.X); text != memberPrefix {
		return nil
	}
	var out []string
	for state := model.StateAlive; state <= model.StateDead; state++ {
		out = append(out, memberPrefix+state.String())
	}
	return out
}

// metricNameExprs returns the expressions that name metrics: the field Name of
// a core.Count, the keys of process.Counters, or the argument of a scope's
// method.
func metricNameExprs(n ast.Node) []ast.Expr {
	switch n := n.(type) {
	case *ast.CompositeLit:
		switch exprText(n.Type) {
		case "core.Count":
			return []ast.Expr{fieldValue(n, "Name")}
		case "process.Counters":
			return elementKeys(n)
		}
	case *ast.CallExpr:
		if len(n.Args) == 0 {
			return nil
		}
		switch f := exprText(n.Fun); {
		case f == "gauge", f == "t.set", isMetricMethod(f[strings.LastIndex(f, ".")+1:]):
			return n.Args[:1]
		}
	}
	return nil
}

func isMetricMethod(name string) bool {
	return name == "Counter" || name == "Gauge" || name == "Timer" || name == "Histogram"
}

func elementKeys(lit *ast.CompositeLit) []ast.Expr {
	var out []ast.Expr
	for _, element := range lit.Elts {
		out = append(out, element.(*ast.KeyValueExpr).Key)
	}
	return out
}

func fieldValue(lit *ast.CompositeLit, name string) ast.Expr {
	for _, element := range lit.Elts {
		keyValue, ok := element.(*ast.KeyValueExpr)
		if ok && exprText(keyValue.Key) == name {
			return keyValue.Value
		}
	}
	return nil
}

// exprText returns the text of an identifier or of a selector such as
// core.Count.
func exprText(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return exprText(e.X) + "." + e.Sel.Name
	}
	return ""
}

func stringLiteral(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

// TestPackagesAreListed checks that the contributors' page lists each package.
func TestPackagesAreListed(t *testing.T) {
	text := mustLoadPage(t, "docs/CONTRIBUTING.md").text
	for _, dir := range packageDirs(t) {
		if !strings.Contains(text, "| `"+dir+"` |") {
			t.Errorf("docs/CONTRIBUTING.md does not list the package %s", dir)
		}
	}
}

func packageDirs(t *testing.T) []string {
	t.Helper()
	seen := make(map[string]bool)
	var out []string
	for _, dir := range []string{"cmd", "internal", "operator", "standin"} {
		err := fs.WalkDir(os.DirFS(repoRoot), dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			if parent := filepath.Dir(path); !seen[parent] {
				seen[parent] = true
				out = append(out, parent)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}
