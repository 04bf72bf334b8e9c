package loadgen

import (
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	lineWidth  = 1.5
)

// curve is one line of a plot.
type curve struct {
	name  string
	color color.Color
	value func(Point) float64
}

var (
	blue   = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	orange = color.RGBA{R: 255, G: 127, B: 14, A: 255}
	red    = color.RGBA{R: 214, G: 39, B: 40, A: 255}
)

// WritePlots writes the time series as latency.png, outcomes.png and moves.png
// into dir. Vertical lines mark the steps of the fault script.
func (r *Report) WritePlots(dir string) error {
	plots := []struct {
		file, title, unit string
		curves            []curve
	}{
		{"latency.png", "latency from the due time", "ms", []curve{
			{"p50", blue, func(p Point) float64 { return p.P50 }},
			{"p99", red, func(p Point) float64 { return p.P99 }},
		}},
		{"outcomes.png", "requests by outcome", "requests per second", []curve{
			{"answered", blue, func(p Point) float64 { return float64(p.Answered) }},
			{"not run", orange, func(p Point) float64 { return float64(p.NotRun) }},
			{"unknown", red, func(p Point) float64 { return float64(p.Unknown) }},
		}},
		{"moves.png", "key moves in the ledgers", "moves per second", []curve{
			{"moves", blue, func(p Point) float64 { return float64(p.Moves) }},
		}},
	}
	for _, spec := range plots {
		p, err := r.plot(spec.title, spec.unit, spec.curves)
		if err != nil {
			return err
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, spec.file)); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) plot(title, unit string, curves []curve) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Scenario + ": " + title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	highest := 1.0
	for _, c := range curves {
		points := make(plotter.XYs, len(r.Series))
		for i, point := range r.Series {
			points[i] = plotter.XY{X: float64(point.Second), Y: c.value(point)}
			highest = max(highest, points[i].Y)
		}
		if err := addLine(p, points, c.color, c.name); err != nil {
			return nil, err
		}
	}
	for _, s := range r.Steps {
		x := float64(s.AtMS) / 1000
		if err := addLine(p, plotter.XYs{{X: x}, {X: x, Y: highest}}, color.Gray{Y: 160}, ""); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func addLine(p *plot.Plot, points plotter.XYs, c color.Color, name string) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	line.Width = vg.Points(lineWidth)
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}
