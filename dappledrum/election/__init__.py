"""Who may act for the controllers: one leader at a time, known by its token."""
