package job_test

import (
	"os"
	"testing"

	"junipershelf/internal/propertytest"
)

func TestMain(m *testing.M) { os.Exit(propertytest.Main(m)) }
