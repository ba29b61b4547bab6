package ctl

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
)

func (a *App) historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list accepted changes, the newest first",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagLimit, Usage: "list at most `N` changes", Value: defaultHistoryLimit},
			&cli.StringFlag{Name: flagChange, Usage: "find the change with this `ID`; fails if it was not accepted"},
		},
		Action: a.wrapAction(a.history),
	}
}

// recordReport is the output for one accepted change.
type recordReport struct {
	Version  uint64         `json:"version"`
	ChangeID string         `json:"change_id"`
	At       time.Time      `json:"at"`
	Author   string         `json:"author"`
	Note     string         `json:"note,omitempty"`
	Objects  []objectReport `json:"objects"`
}

// history prints the newest accepted changes, or the change with the given ID.
func (a *App) history(ctx context.Context, cmd *cli.Command) error {
	session, err := a.openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer session.close()
	if _, err := parseArguments(cmd); err != nil {
		return err
	}
	records, err := session.readHistory(cmd)
	if err != nil {
		return err
	}
	if session.settings.format == formatJSON {
		return printJSON(a.Stdout, recordReports(records))
	}
	return a.printHistory(records)
}

// readHistory returns the records that the flags select.
func (s *session) readHistory(cmd *cli.Command) ([]configstore.Record, error) {
	limit := cmd.Int(flagLimit)
	if limit < 1 || limit > historySearchLimit {
		return nil, inputErrorf("--limit %d is out of range; want 1 to %d", limit, historySearchLimit)
	}
	id := cmd.String(flagChange)
	if id == "" {
		return s.store.History(s.ctx, limit)
	}
	records, err := s.store.History(s.ctx, historySearchLimit)
	if err != nil {
		return nil, err
	}
	record, ok := findRecord(records, id)
	if !ok {
		return nil, fmt.Errorf("change %s is not among the newest %d accepted changes", id, len(records))
	}
	return []configstore.Record{record}, nil
}

func recordReports(records []configstore.Record) []recordReport {
	reports := make([]recordReport, len(records))
	for i, r := range records {
		reports[i] = recordReport{
			Version: r.Version, ChangeID: r.Change.ID, At: r.Change.At, Author: r.Change.Author,
			Note: r.Change.Note, Objects: objectReports(r.Change.Objects),
		}
	}
	return reports
}

func (a *App) printHistory(records []configstore.Record) error {
	t := newTable("VERSION", "AT", "AUTHOR", "CHANGE", "OBJECTS", "NOTE")
	for _, r := range records {
		t.addRow(strconv.FormatUint(r.Version, 10), formatTime(r.Change.At), authorOrUnknown(r.Change.Author), r.Change.ID,
			describeObjects(r.Change.Objects), r.Change.Note)
	}
	return t.print(a.Stdout)
}
