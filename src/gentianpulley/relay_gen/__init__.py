__all__ = ['ttypes', 'constants', 'Relay']
