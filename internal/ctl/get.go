package ctl

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/declare"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// objectKinds are the kinds of objects in the order in which messages name
// them.
var objectKinds = []model.ObjectKind{model.KindDomain, model.KindDomainState, model.KindService, model.KindTargetState}

func (a *App) getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show the configuration in the store",
		ArgsUsage: "[KIND [NAME]]",
		Action:    a.wrapAction(a.get),
	}
}

// getReport is the output of get.
type getReport struct {
	Version uint64         `json:"version"`
	Objects []objectReport `json:"objects"`
}

// get prints the objects of the kind and name in the arguments.
func (a *App) get(ctx context.Context, cmd *cli.Command) error {
	session, err := a.openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer session.close()
	selected, err := parseSelection(cmd)
	if err != nil {
		return err
	}
	config, err := loadConfig(session.ctx, session.store)
	if err != nil {
		return err
	}
	objects := selectObjects(config, selected)
	if selected.Name != "" && len(objects) == 0 {
		return fmt.Errorf("%s %q does not exist in version %d", selected.Kind, selected.Name, config.Version)
	}
	if session.settings.format == formatJSON {
		return printJSON(a.Stdout, getReport{config.Version, objectReports(objects)})
	}
	return a.printObjects(config.Version, objects)
}

// parseSelection returns the kind and name in the arguments. An empty kind or
// name matches any.
func parseSelection(cmd *cli.Command) (model.ObjectKey, error) {
	args := cmd.Args().Slice()
	if len(args) > 2 {
		return model.ObjectKey{}, inputErrorf("%s takes at most 2 arguments (KIND NAME), found %d", cmd.FullName(), len(args))
	}
	var key model.ObjectKey
	if len(args) > 0 {
		key.Kind = model.ObjectKind(strings.TrimSuffix(args[0], "s"))
		if !slices.Contains(objectKinds, key.Kind) {
			return key, inputErrorf("%q is not a kind; want one of %v", args[0], objectKinds)
		}
	}
	if len(args) > 1 {
		key.Name = args[1]
	}
	return key, nil
}

// selectObjects returns the existing objects that match, sorted by key.
func selectObjects(c *model.Config, selected model.ObjectKey) []model.Object {
	objects := []model.Object{}
	for _, o := range c.Objects {
		kindMatches := selected.Kind == "" || selected.Kind == o.Key.Kind
		nameMatches := selected.Name == "" || selected.Name == o.Key.Name
		if kindMatches && nameMatches && !o.Deleted() {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b model.Object) int { return a.Key.Compare(b.Key) })
	return objects
}

func (a *App) printObjects(version uint64, objects []model.Object) error {
	t := newTable("KIND", "NAME", "VERSION", "FIELDS")
	for i := range objects {
		o := &objects[i]
		t.addRow(string(o.Key.Kind), o.Key.Name, strconv.FormatUint(o.Version, 10), formatFields(o))
	}
	if err := t.print(a.Stdout); err != nil {
		return err
	}
	_, err := fmt.Fprintf(a.Stdout, "version %d\n", version)
	return err
}

// formatFields formats the fields of an object as "name=value".
func formatFields(o *model.Object) string {
	var parts []string
	for _, f := range declare.Fields(o) {
		parts = append(parts, f.Name+"="+f.Value)
	}
	return strings.Join(parts, " ")
}
