package load

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"savoryfall/core/annotate"
)

// Write leaves the run over time as a CSV file and a plot in the folder.
func (r *Run) Write(dir string) (err error) {
	defer annotate.Error(&err, "write run to %s", dir)
	err = os.MkdirAll(dir, 0o750)
	if err != nil {
		return err
	}
	err = r.writeCSV(filepath.Join(dir, r.policy+".csv"))
	if err != nil {
		return err
	}
	return r.writePlot(filepath.Join(dir, r.policy+".svg"))
}

func (r *Run) writeCSV(file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	rows := [][]string{{"second", "requestSkew", "tokenSkew", "outstandingPerEngine", "whole", "notWhole", "foundTokens", "knowableTokens", "firstTokenP95Ms"}}
	for _, s := range r.figures.seconds {
		rows = append(rows, []string{
			fmt.Sprintf("%.1f", s.at), fmt.Sprintf("%.3f", s.requestSkew), fmt.Sprintf("%.3f", s.tokenSkew),
			fmt.Sprintf("%.1f", s.outstanding), fmt.Sprint(s.whole), fmt.Sprint(s.errors), fmt.Sprint(s.found),
			fmt.Sprint(s.knowable), fmt.Sprintf("%.1f", s.firstP95Ms),
		})
	}
	return w.WriteAll(rows)
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

func (r *Run) writePlot(file string) (err error) {
	p := plot.New()
	p.Title.Text = "policy " + r.policy
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "busiest over mean; share of knowable tokens found"
	var requests, tokens, reuse plotter.XYs
	for i, s := range r.figures.seconds {
		requests = append(requests, plotter.XY{X: s.at, Y: s.requestSkew})
		tokens = append(tokens, plotter.XY{X: s.at, Y: s.tokenSkew})
		if i > 0 && s.knowable > r.figures.seconds[i-1].knowable {
			before := r.figures.seconds[i-1]
			reuse = append(reuse, plotter.XY{X: s.at, Y: float64(s.found-before.found) / float64(s.knowable-before.knowable)})
		}
	}
	err = plotutil.AddLines(p, "skew of requests", requests, "skew of tokens", tokens, "cache reuse", reuse)
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
