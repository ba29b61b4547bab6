package docscheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// repoRoot is the root of the repository relative to this package.
const repoRoot = "../.."

// page is a Markdown file with its code blocks separated from its text.
type page struct {
	path   string // relative to the root of the repository
	text   string
	blocks []string
}

// loadPages reads all Markdown files of the repository.
func loadPages(t *testing.T) []page {
	t.Helper()
	var out []page
	err := filepath.WalkDir(repoRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "bin") {
			return filepath.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".md" {
			return nil
		}
		p, err := loadPage(path)
		out = append(out, p)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func loadPage(path string) (page, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return page{}, err
	}
	name, err := filepath.Rel(repoRoot, path)
	p := page{path: name}
	for i, part := range strings.Split(string(data), "```") {
		if i%2 == 0 {
			p.text += part
		} else {
			p.blocks = append(p.blocks, part)
		}
	}
	return p, err
}

// mustLoadPage reads one page by its path from the root.
func mustLoadPage(t *testing.T, path string) page {
	t.Helper()
	p, err := loadPage(filepath.Join(repoRoot, path))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

var linkPattern = regexp.MustCompile(`\]\(([^)\s]+)\)`)

func TestRelativeLinksResolve(t *testing.T) {
	links := 0
	for _, p := range loadPages(t) {
		for _, match := range linkPattern.FindAllStringSubmatch(p.text, -1) {
			target, anchor, _ := strings.Cut(match[1], "#")
			if strings.Contains(target, "://") {
				continue
			}
			links++
			checkLink(t, p, target, anchor)
		}
	}
	if links == 0 {
		t.Error("no relative links found")
	}
}

// checkLink reports a link whose file or heading does not exist.
func checkLink(t *testing.T, from page, target, anchor string) {
	t.Helper()
	path := filepath.Join(repoRoot, from.path)
	if target != "" {
		path = filepath.Join(repoRoot, filepath.Dir(from.path), target)
	}
	if _, err := os.Stat(path); err != nil {
		t.Errorf("%s links to %q, which does not exist", from.path, target)
		return
	}
	if anchor == "" {
		return
	}
	to, err := loadPage(path)
	if err != nil {
		t.Fatal(err)
	}
	if !headingAnchors(to)[anchor] {
		t.Errorf("%s links to %q, which has no heading #%s", from.path, target, anchor)
	}
}

var notInAnchor = regexp.MustCompile(`[^\p{L}\p{N}\- _]`)

// headingAnchors returns the anchors of a page's headings, in the form that
// code hosts generate.
func headingAnchors(p page) map[string]bool {
	out := make(map[string]bool)
	for line := range strings.Lines(p.text) {
		title, ok := strings.CutPrefix(strings.TrimLeft(line, "#"), " ")
		if !ok || !strings.HasPrefix(line, "#") {
			continue
		}
		anchor := notInAnchor.ReplaceAllString(strings.ToLower(strings.TrimSpace(title)), "")
		out[strings.ReplaceAll(anchor, " ", "-")] = true
	}
	return out
}
