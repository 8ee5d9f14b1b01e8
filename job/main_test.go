package job

import (
	"os"
	"testing"

	"junipershelf/internal/drawntest"
)

func TestMain(m *testing.M) { os.Exit(drawntest.Main(m)) }
