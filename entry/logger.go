package entry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/settings"
)

// NewLogger returns a logger to the standard error with the level and format in
// the settings. Messages begin with the component, such as "control: ".
func NewLogger(l settings.Log) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(l.Level)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "log level")
	}
	config := zap.NewProductionConfig()
	if l.Format == settings.LogConsole {
		config.Encoding = "console"
		config.EncoderConfig = zap.NewDevelopmentEncoderConfig()
	}
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncoderConfig.CallerKey = zapcore.OmitKey
	config.DisableStacktrace = true
	config.Sampling = nil
	config.Level = zap.NewAtomicLevelAt(level)
	logger, err := config.Build()
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "build the logger")
	}
	return logger, nil
}
